package org.citronrelay.internal.schedule;

/**
 * The answer of a VM to a start command.
 */
public enum StartAnswer {

	/** The run has started, by this command or an earlier one. */
	STARTED,
	/** The VM obeys a later coordinator and ignores the command. */
	FENCED,
	/**
	 * A run with this number or a higher one has ended on the VM; this one never starts.
	 */
	OUTDATED,
	/** The offered lease had already ended; nothing started. */
	LATE,
	/** The VM has not enough free capacity; nothing started. */
	NO_ROOM,
	/** The VM rejected the command as invalid; nothing started. */
	REJECTED,
	/** The VM reports that it is unhealthy; nothing started. */
	UNHEALTHY,
	/** No answer; the run may have started or may still start. */
	UNKNOWN

}
