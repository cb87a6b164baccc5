/**
 * Scheduling of the jobs of one failure domain: the queue, gangs whose members start and
 * end together, and the stored job records. The scheduler is a pure function of state,
 * events and time.
 */
package org.citronrelay.internal.gang;
