/**
 * The settings of a process. They are read from one JSON file and checked completely
 * before anything starts.
 */
package org.citronrelay.internal.settings;
