/**
 * The sources of time. Functions that decide take the present time as an argument; only
 * the threads that call them read a ticker.
 */
package org.citronrelay.internal.time;
