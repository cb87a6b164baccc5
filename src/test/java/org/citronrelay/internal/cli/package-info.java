/**
 * Tests of the command line.
 */
package org.citronrelay.internal.cli;
