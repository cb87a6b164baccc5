/**
 * Access to time. Decision code takes the current time as an argument; only the threads
 * that call it read a {@link org.citronrelay.internal.time.Ticker}.
 */
package org.citronrelay.internal.time;
