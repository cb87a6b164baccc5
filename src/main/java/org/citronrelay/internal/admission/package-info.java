/**
 * Admission: limits of teams, and slots that go to the most important class first.
 */
package org.citronrelay.internal.admission;
