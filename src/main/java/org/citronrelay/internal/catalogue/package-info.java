/**
 * The catalogue: reading and checking it, its versions in the key-value service, and the
 * version in force in this process.
 */
package org.citronrelay.internal.catalogue;
