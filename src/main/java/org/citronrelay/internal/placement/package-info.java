/**
 * Placement: where gangs run, how guaranteed shapes stay reclaimable, and how free
 * capacity is kept in one piece. Everything here is a pure function of its arguments.
 */
package org.citronrelay.internal.placement;
