/**
 * Tests of the decisions on batch jobs.
 */
package org.citronrelay.internal.schedule;
