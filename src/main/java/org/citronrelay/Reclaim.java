package org.citronrelay;

/**
 * How a running job gives its accelerators back before it has finished.
 */
public enum Reclaim {

	/** Saves its progress and continues later. */
	CHECKPOINT,
	/** Stops and begins anew later. */
	STOP,
	/** Never; it runs to its end. */
	NEVER

}
