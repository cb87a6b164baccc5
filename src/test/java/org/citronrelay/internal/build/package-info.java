/**
 * Tests of the name of a build.
 */
package org.citronrelay.internal.build;
