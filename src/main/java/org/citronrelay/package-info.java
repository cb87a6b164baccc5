/**
 * The public surface of citronrelay: the values that callers, operators and embedding
 * programs exchange with it. The machinery is under {@code internal}.
 */
package org.citronrelay;
