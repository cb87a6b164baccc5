/**
 * The entry process: wires its components, runs their threads and shuts them down.
 */
package org.citronrelay.internal.entry;
