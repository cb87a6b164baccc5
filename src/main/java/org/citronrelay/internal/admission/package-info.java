/**
 * Admission control: request limits for teams, and slots that the most important service
 * class gets first.
 */
package org.citronrelay.internal.admission;
