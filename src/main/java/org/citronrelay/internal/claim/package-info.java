/**
 * At-most-once execution: a claim is written to the key-value service before a
 * non-idempotent request is sent, and the entry processes hold the outcomes in memory.
 */
package org.citronrelay.internal.claim;
