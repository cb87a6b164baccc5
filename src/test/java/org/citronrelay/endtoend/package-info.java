/**
 * End-to-end tests: entry processes and stand-ins of the platform run as separate
 * processes on the loopback interface.
 */
package org.citronrelay.endtoend;
