/**
 * The outside systems behind one small interface each: the key-value service, the VM list
 * and the workers. Whatever decides sees only these interfaces.
 */
package org.citronrelay.internal.platform;
