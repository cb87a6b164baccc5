/**
 * The command line.
 */
package org.citronrelay.internal.cli;
