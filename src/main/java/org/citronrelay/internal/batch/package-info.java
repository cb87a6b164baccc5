/**
 * The data model of batch jobs: steps of tasks that run on backend server VMs, the queues
 * in which jobs wait, and the teams that own them. All types are immutable.
 */
package org.citronrelay.internal.batch;
