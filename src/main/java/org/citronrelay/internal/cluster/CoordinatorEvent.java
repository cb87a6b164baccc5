package org.citronrelay.internal.cluster;

import java.util.Objects;

import io.vavr.control.Either;
import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmRegistration;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.schedule.VmAnswer;

/**
 * An event that the coordinator applies to its scheduler.
 */
sealed interface CoordinatorEvent {

	record JobStored(BatchJob job) implements CoordinatorEvent {
	}

	/**
	 * A cancellation was stored.
	 *
	 * @param job the id of the job
	 * @param revision the revision of its record, 0 if it is not known
	 */
	record CancelStored(String job, long revision) implements CoordinatorEvent {
	}

	/**
	 * The cancellation of a job that was never stored was removed.
	 *
	 * @param job the id of the job
	 * @param revision the revision of the record that was removed
	 */
	record CancelForgotten(String job, long revision) implements CoordinatorEvent {
	}

	record JobRemoved(String job) implements CoordinatorEvent {
	}

	/**
	 * The progress of an ended job was deleted.
	 *
	 * @param job the job's id
	 * @param revision the revision of the progress that was deleted
	 */
	record JobForgotten(String job, long revision) implements CoordinatorEvent {
	}

	record VmRegistered(VmRegistration registration) implements CoordinatorEvent {

		public VmRegistered {
			Objects.requireNonNull(registration, "registration");
		}

	}

	record VmDeregistered(String vm) implements CoordinatorEvent {
	}

	record CatalogueChanged(QueueCatalogue catalogue) implements CoordinatorEvent {
	}

	record RenewalEnded(Effect.Renew renewal, Either<NoAnswer, VmAnswer> answer) implements CoordinatorEvent {
	}

	record StartAnswered(TaskId task, long run, StartAnswer answer) implements CoordinatorEvent {
	}

	record StopAnswered(TaskId task, long run) implements CoordinatorEvent {
	}

	record WriteEnded(ProgressTransaction progress, Either<StoreFailure, Long> result) implements CoordinatorEvent {
	}

}
