/**
 * Jobs of a failure domain: the queue, gangs that start and end as a whole, and the
 * records that last. The scheduler is a pure function of state, event and time.
 */
package org.citronrelay.internal.gang;
