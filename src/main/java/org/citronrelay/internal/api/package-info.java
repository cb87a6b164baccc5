/**
 * HTTP interface of an entry process for callers and operators.
 */
package org.citronrelay.internal.api;
