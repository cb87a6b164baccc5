/**
 * The users' platform: its names, formats and calls, translated into the types of this
 * project and back. Nothing here decides anything.
 */
package org.citronrelay.platform;
