package org.citronrelay.internal.platform;

/**
 * What a write expects to find at its key.
 */
public sealed interface Expectation {

	/**
	 * Nothing is there yet.
	 */
	static Expectation absent() {
		return new Absent();
	}

	/**
	 * The value of a revision is there.
	 */
	static Expectation revision(long revision) {
		return new Revision(revision);
	}

	/**
	 * Nothing is there yet.
	 */
	record Absent() implements Expectation {
	}

	/**
	 * The value of a revision is there.
	 *
	 * @param revision the revision
	 */
	record Revision(long revision) implements Expectation {
	}

	/**
	 * Whatever is there is replaced.
	 */
	record Anything() implements Expectation {
	}

}
