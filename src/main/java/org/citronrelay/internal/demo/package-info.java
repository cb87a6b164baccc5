/**
 * A deployment with stand-ins for the platform within one JVM, for the demo, the load
 * tool and tests.
 */
package org.citronrelay.internal.demo;
