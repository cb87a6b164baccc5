/**
 * Stand-ins of the platform for tests, the demo and the load tool: key-value service, VM
 * list and workers. Each speaks the protocol that the adapters speak and can be told to
 * fail.
 */
package org.citronrelay.internal.standin;
