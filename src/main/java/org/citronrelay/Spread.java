package org.citronrelay;

/**
 * How close the members of a gang must be to each other.
 */
public enum Spread {

	/** All members in one rack. */
	RACK,
	/** Anywhere in one failure domain. */
	DOMAIN

}
