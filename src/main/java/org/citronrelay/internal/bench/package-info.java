/**
 * Benchmarks of scheduling decisions, of the request path and of resource use. Each
 * measurement is printed with its target, if it has one, and whether the target was met.
 */
package org.citronrelay.internal.bench;
