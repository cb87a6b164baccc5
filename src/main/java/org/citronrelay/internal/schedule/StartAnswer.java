package org.citronrelay.internal.schedule;

/**
 * What came back for an order to start a run.
 */
public enum StartAnswer {

	/** The run is there. */
	STARTED,
	/** The VM obeys a later coordinator. */
	FENCED,
	/** A run with this number or a higher one has ended there; this one never starts. */
	OUTDATED,
	/** The lease offered had already ended; nothing started. */
	LATE,
	/** The VM has no room; nothing started. */
	NO_ROOM,
	/** The VM does not understand the order; nothing started. */
	REJECTED,
	/** The VM says that it is not well; nothing started. */
	UNHEALTHY,
	/** No answer; the run may be there, or may begin later. */
	UNKNOWN

}
