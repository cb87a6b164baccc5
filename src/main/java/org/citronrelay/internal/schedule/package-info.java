/**
 * Decides which task runs on which VM and when. Everything here is pure: events and the
 * present time go in, effects come out. No clock, socket, thread or logger.
 */
package org.citronrelay.internal.schedule;
