/**
 * The entry process: its parts, their threads, and its planned stop.
 */
package org.citronrelay.internal.entry;
