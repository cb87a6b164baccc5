package org.citronrelay.internal.cli;

/**
 * Thrown for invalid arguments of a command. The message says what is wrong, the advice
 * how to correct it.
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
