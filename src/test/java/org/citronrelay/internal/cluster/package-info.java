/**
 * Tests of the processes of a batch cluster.
 */
package org.citronrelay.internal.cluster;
