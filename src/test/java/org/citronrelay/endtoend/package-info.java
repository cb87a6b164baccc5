/**
 * The whole system as separate processes on loopback.
 */
package org.citronrelay.endtoend;
