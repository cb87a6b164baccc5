/**
 * Adapter to the users' platform. Translates its names, formats and calls to the types of
 * this project and back, and makes no scheduling decisions.
 */
package org.citronrelay.platform;
