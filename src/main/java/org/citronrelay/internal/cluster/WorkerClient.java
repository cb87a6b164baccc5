package org.citronrelay.internal.cluster;

import io.vavr.control.Either;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.schedule.VmAnswer;

/**
 * Sends commands to VMs. Each command carries the coordinator's fencing token.
 */
public interface WorkerClient {

	/**
	 * Tells a VM to start a run and returns its answer.
	 */
	StartAnswer start(Effect.Start command, long token);

	/**
	 * Tells a VM to stop a run.
	 * @return whether the VM confirmed the command
	 */
	boolean stop(Effect.Stop command, long token);

	/**
	 * Renews the lease of a VM.
	 * @return the runs that the VM lists, or why there was no answer
	 */
	Either<NoAnswer, VmAnswer> renew(Effect.Renew command, long token);

}
