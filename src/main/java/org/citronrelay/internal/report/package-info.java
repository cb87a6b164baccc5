/**
 * Service levels: what was good and what was not, over short and long windows, and the
 * report on how fast the error budget burns.
 */
package org.citronrelay.internal.report;
