/**
 * Benchmarks: each prints its target, what was measured and whether it was met.
 */
package org.citronrelay.internal.bench;
