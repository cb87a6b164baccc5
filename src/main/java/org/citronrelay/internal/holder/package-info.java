/**
 * Leader election for a failure domain. The holder, one entry process at a time, decides
 * for the domain's gangs. It owns a lease in the key-value service, and workers refuse
 * commands whose epoch is older than the newest one they have seen.
 */
package org.citronrelay.internal.holder;
