/**
 * HTTP server and client on Grizzly. The result of a call tells whether it was certainly
 * not sent or may have been received.
 */
package org.citronrelay.internal.http;
