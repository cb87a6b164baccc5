package org.citronrelay.internal.cluster;

import io.vavr.control.Either;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.schedule.VmAnswer;

/**
 * The orders that a VM takes. Each carries the coordinator's fencing token.
 */
public interface WorkerOrders {

	/**
	 * Tells a VM to start a run.
	 */
	StartAnswer start(Effect.Start order, long token);

	/**
	 * Tells a VM to stop a run; gives whether it answered that it obeyed.
	 */
	boolean stop(Effect.Stop order, long token);

	/**
	 * Renews the lease of a VM; gives what it lists, or why there was no answer.
	 */
	Either<Silence, VmAnswer> renew(Effect.Renew order, long token);

}
