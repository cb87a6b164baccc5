package org.citronrelay.internal.platform;

/**
 * Precondition of a write, checked by the key-value service together with the write.
 */
public sealed interface Expectation {

	/**
	 * Returns the precondition that the key does not exist.
	 */
	static Expectation absent() {
		return new Absent();
	}

	/**
	 * Returns the precondition that the key was last written at the given revision.
	 */
	static Expectation revision(long revision) {
		return new Revision(revision);
	}

	/**
	 * The key does not exist.
	 */
	record Absent() implements Expectation {
	}

	/**
	 * The key was last written at the given revision.
	 *
	 * @param revision the revision of the value to replace
	 */
	record Revision(long revision) implements Expectation {
	}

	/**
	 * No precondition: the key is created, or its value is replaced.
	 */
	record Unconditional() implements Expectation {
	}

}
