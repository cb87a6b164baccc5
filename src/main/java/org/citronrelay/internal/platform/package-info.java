/**
 * Interfaces to the external systems and their HTTP clients: the key-value service, the
 * VM list and the workers. Code that makes scheduling decisions depends on the interfaces
 * only.
 */
package org.citronrelay.internal.platform;
