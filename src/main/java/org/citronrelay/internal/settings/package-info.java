/**
 * Settings of a process: one JSON file, checked whole before anything starts.
 */
package org.citronrelay.internal.settings;
