/**
 * The request pipeline: a chain of filters, each of which either answers a request or
 * passes it on.
 */
package org.citronrelay.internal.pipeline;
