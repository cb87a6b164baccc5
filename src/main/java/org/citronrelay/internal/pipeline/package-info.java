/**
 * The path of a request: a chain of filters, each of which answers or hands on.
 */
package org.citronrelay.internal.pipeline;
