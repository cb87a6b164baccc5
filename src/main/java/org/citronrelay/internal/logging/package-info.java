/**
 * Logging: one logger for each part of the system, whose name is the prefix of its lines.
 */
package org.citronrelay.internal.logging;
