/**
 * The catalogue: reading and checking it, its versions in the key-value service, and its
 * spread to all entry processes.
 */
package org.citronrelay.internal.catalogue;
