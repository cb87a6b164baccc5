package org.citronrelay.internal.cli;

/**
 * The command line makes no sense. The message says what was wrong, the advice what to
 * do.
 */
final class UsageException extends Exception {

	private final String advice;

	UsageException(String message, String advice) {
		super(message);
		this.advice = advice;
	}

	String advice() {
		return this.advice;
	}

}
