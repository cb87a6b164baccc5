/**
 * Which build of the program is running.
 */
package org.citronrelay.internal.build;
