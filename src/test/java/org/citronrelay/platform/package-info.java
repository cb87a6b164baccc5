/**
 * Tests of the adapter to the users' platform.
 */
package org.citronrelay.platform;
