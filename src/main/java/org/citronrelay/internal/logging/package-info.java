/**
 * Logging: one logger for each part of the system, whose name starts each of its lines in
 * text format.
 */
package org.citronrelay.internal.logging;
