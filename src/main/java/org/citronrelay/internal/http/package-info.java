/**
 * HTTP by Grizzly: a small server and a client that tells what surely was not sent from
 * what may have been.
 */
package org.citronrelay.internal.http;
