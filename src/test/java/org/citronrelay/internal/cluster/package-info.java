/**
 * Tests of the package of the same name.
 */
package org.citronrelay.internal.cluster;
