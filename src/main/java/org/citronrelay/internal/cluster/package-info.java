/**
 * One process of a cluster that schedules batch jobs: it accepts jobs, and one process at
 * a time coordinates them. What lasts is kept in the cluster's key-value store.
 */
package org.citronrelay.internal.cluster;
