/**
 * Holding a failure domain: one entry process at a time decides for its jobs, by a lease
 * in the key-value service and an epoch that workers compare.
 */
package org.citronrelay.internal.holder;
