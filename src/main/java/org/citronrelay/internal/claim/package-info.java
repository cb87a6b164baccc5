/**
 * At most once: a claim in the key-value service before a non-idempotent request is sent,
 * and a ledger of outcomes in the memory of the entry processes.
 */
package org.citronrelay.internal.claim;
