package org.citronrelay.internal.logging;

import java.util.Locale;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A part of the system that writes logs under its own prefix.
 */
public enum Part {

	/** Start and stop of the process. */
	ENTRY,
	/** Callers' requests. */
	REQUEST,
	/** The holder of the failure domain. */
	HOLDER,
	/** Jobs and gangs. */
	JOB,
	/** The catalogue. */
	CATALOGUE,
	/** Links to other entry processes. */
	PEER,
	/** The platform's key-value service and VM list. */
	PLATFORM,
	/** Backend servers. */
	WORKER,
	/** Stand-ins of the platform. */
	STANDIN;

	private final Logger logger = LoggerFactory.getLogger(name().toLowerCase(Locale.ROOT));

	/**
	 * The logger of this part.
	 */
	public Logger logger() {
		return this.logger;
	}

}
