package org.citronrelay;

/**
 * How close to each other the members of a gang must be placed.
 */
public enum Spread {

	/** All members in the same rack. */
	RACK,
	/** Anywhere in the same failure domain. */
	DOMAIN

}
