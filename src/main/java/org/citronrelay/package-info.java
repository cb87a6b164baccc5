/**
 * The public API of citronrelay: the values that callers, operators and embedding
 * programs exchange with it. The implementation is in {@code internal}.
 */
package org.citronrelay;
