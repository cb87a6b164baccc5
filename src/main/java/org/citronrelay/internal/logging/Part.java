package org.citronrelay.internal.logging;

import java.util.Locale;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The parts of the system that log, each with its own logger. The name of the logger is
 * that of the constant in lower case.
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
	/** Connections to other entry processes. */
	PEER,
	/** The platform's key-value service and VM list. */
	PLATFORM,
	/** Backend servers. */
	WORKER,
	/** Stand-ins for the platform, used in demos, benchmarks and tests. */
	STANDIN;

	private final Logger logger = LoggerFactory.getLogger(name().toLowerCase(Locale.ROOT));

	/**
	 * Returns the logger of this part.
	 */
	public Logger logger() {
		return this.logger;
	}

}
