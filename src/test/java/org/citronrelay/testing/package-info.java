/**
 * Test fakes, fixtures and checkers of recorded histories, shared by the tests.
 */
package org.citronrelay.testing;
