package org.citronrelay.internal.cluster;

import java.util.List;

import io.vavr.control.Either;
import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmReport;
import org.citronrelay.internal.schedule.JobBook;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.schedule.VmAnswer;

/**
 * What the coordinator hears.
 */
sealed interface CoordinatorEvent {

	record JobStored(BatchJob job) implements CoordinatorEvent {
	}

	record CancelStored(String job) implements CoordinatorEvent {
	}

	record JobRemoved(String job) implements CoordinatorEvent {
	}

	record VmSeen(VmReport report) implements CoordinatorEvent {
	}

	record VmGone(String vm) implements CoordinatorEvent {
	}

	record CatalogueSeen(QueueCatalogue catalogue) implements CoordinatorEvent {
	}

	record Renewed(String vm, Either<Silence, VmAnswer> answer) implements CoordinatorEvent {
	}

	record StartAnswered(TaskId task, long run, StartAnswer answer) implements CoordinatorEvent {
	}

	record StopAnswered(TaskId task, long run) implements CoordinatorEvent {
	}

	record Written(List<JobBook.Write> writes, Either<StoreFailure, Long> result) implements CoordinatorEvent {
	}

}
