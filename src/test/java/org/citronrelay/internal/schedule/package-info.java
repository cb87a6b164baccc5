/**
 * Tests of the scheduling of batch jobs.
 */
package org.citronrelay.internal.schedule;
