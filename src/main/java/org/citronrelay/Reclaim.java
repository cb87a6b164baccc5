package org.citronrelay;

/**
 * How the accelerators of a running job can be reclaimed before it has finished.
 */
public enum Reclaim {

	/** The job saves its progress, stops and continues from there later. */
	CHECKPOINT,
	/** The job stops and starts from the beginning later. */
	STOP,
	/** The job cannot be reclaimed. */
	NEVER

}
