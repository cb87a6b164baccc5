/**
 * Service levels: counts of good and bad requests and jobs over short and long windows,
 * and the report on error budget burn rates.
 */
package org.citronrelay.internal.report;
