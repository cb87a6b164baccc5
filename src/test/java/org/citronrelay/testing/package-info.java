/**
 * Fakes at the interfaces and checkers of histories, shared by tests.
 */
package org.citronrelay.testing;
