/**
 * A whole deployment with stand-ins in one process, for the demo, the load tool and
 * tests.
 */
package org.citronrelay.internal.demo;
