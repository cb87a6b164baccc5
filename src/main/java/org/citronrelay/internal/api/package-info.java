/**
 * The HTTP interface for callers and operators.
 */
package org.citronrelay.internal.api;
