/**
 * Schedules the batch jobs of a cluster: decides which task runs on which VM and when.
 * The package is purely functional towards the outside: it is given events and the
 * current time, and returns effects. It uses no clock, socket, thread or logger.
 */
package org.citronrelay.internal.schedule;
