/**
 * Placement of gangs: guaranteed blocks that can always be reclaimed, and placement with
 * little fragmentation. All operations are pure functions of their arguments.
 */
package org.citronrelay.internal.placement;
