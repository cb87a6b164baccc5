/**
 * Stand-ins for the services of the platform, for tests, the demo and the load tool:
 * key-value service, VM list and workers. They implement the HTTP protocols that the
 * platform adapters use and can inject faults.
 */
package org.citronrelay.internal.standin;
