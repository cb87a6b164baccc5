/**
 * Dispatch of requests to backend servers: choice of the server, retries, and what an
 * answer or a missing answer proves about the request.
 */
package org.citronrelay.internal.dispatch;
