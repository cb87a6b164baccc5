/**
 * Schedules the batch jobs of a cluster: decides which task runs on which VM and when.
 * The package has no side effects: it is given events and the current time, and returns
 * the effects to carry out. It uses no clock, socket, thread or logger.
 */
package org.citronrelay.internal.schedule;
