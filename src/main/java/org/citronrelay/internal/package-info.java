/**
 * The implementation, one package for each area. Nothing here is public API.
 */
package org.citronrelay.internal;
