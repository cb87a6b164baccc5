/**
 * One process of a cluster that schedules batch jobs: every process accepts jobs, and one
 * elected process at a time, the coordinator, schedules them. All persistent state is in
 * the cluster's key-value store.
 */
package org.citronrelay.internal.cluster;
