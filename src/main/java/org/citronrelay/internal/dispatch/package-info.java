/**
 * Sending requests to backend servers: which one, how often, and what its answer or
 * silence proves.
 */
package org.citronrelay.internal.dispatch;
