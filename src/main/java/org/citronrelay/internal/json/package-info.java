/**
 * Reading JSON with findings: every fault is collected with its pointer before any is
 * reported.
 */
package org.citronrelay.internal.json;
