/**
 * Tests of the scripts that build the program.
 */
package org.citronrelay.build;
