/**
 * Batch jobs: steps of tasks that run on backend server VMs, the queues they wait in and
 * the teams that own them. Immutable values only.
 */
package org.citronrelay.internal.batch;
