package org.citronrelay.internal.cluster;

import java.util.concurrent.Executor;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.cluster.CoordinatorEvent.RenewalEnded;
import org.citronrelay.internal.cluster.CoordinatorEvent.StartAnswered;
import org.citronrelay.internal.cluster.CoordinatorEvent.StopAnswered;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.Moment;
import org.citronrelay.internal.schedule.RunOver;
import org.citronrelay.internal.schedule.RunSighting;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.schedule.VmAbsence;
import org.citronrelay.internal.schedule.VmAnswer;
import org.citronrelay.internal.time.Ticker;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Carries out the effects of one term: sends commands to VMs, and writes what the
 * scheduler reports to the log and the metrics.
 */
final class EffectExecutor {

	private final WorkerClient workerClient;

	private final Executor executor;

	private final ClusterMetrics metrics;

	private final Term term;

	private final Ticker ticker;

	private final Consumer<CoordinatorEvent> events;

	/**
	 * Creates the executor of a term.
	 * @param events receives the answers to commands, from any thread
	 */
	EffectExecutor(Coordinator.Dependencies dependencies, Term term, Consumer<CoordinatorEvent> events) {
		this.workerClient = dependencies.workerClient();
		this.executor = dependencies.executor();
		this.metrics = dependencies.metrics();
		this.term = term;
		this.ticker = dependencies.ticker();
		this.events = events;
	}

	/**
	 * Carries out an effect. Commands are sent in the background; their answers become
	 * events.
	 */
	void execute(Effect effect) {
		switch (effect) {
			case Effect.Start start -> this.executor.execute(() -> start(start));
			case Effect.Stop stop -> this.executor.execute(() -> stop(stop));
			case Effect.Renew renew -> this.executor.execute(() -> renew(renew));
			case Effect.VmCrashed crashed -> vmCrashed(crashed);
			case Effect.GivenUp givenUp -> givenUp(givenUp);
			case Effect.StartedAgain startedAgain -> startedAgain(startedAgain);
			case Effect.RunsOverlap overlap -> runsOverlap(overlap);
			case Effect.SupersededRunDone done -> supersededRunDone(done);
			case Effect.Note note -> Part.JOB.logger()
				.atInfo()
				.addKeyValue("job", note.job())
				.addKeyValue("token", this.term.token())
				.addKeyValue("reason", note.reason())
				.log(note.decision());
		}
	}

	private void vmCrashed(Effect.VmCrashed crashed) {
		this.metrics.recordVmCrash(crashed.teams());
		Part.WORKER.logger()
			.atWarn()
			.addKeyValue("vm", crashed.vm())
			.addKeyValue("token", this.term.token())
			.addKeyValue("suspectedTeams", crashed.teams())
			.addKeyValue("reason", crashed.reason())
			.log("A VM has crashed.");
	}

	private void givenUp(Effect.GivenUp givenUp) {
		this.metrics.recordGivenUp(givenUp.team());
		Part.JOB.logger()
			.atWarn()
			.addKeyValue("job", givenUp.job())
			.addKeyValue("token", this.term.token())
			.addKeyValue("team", givenUp.team())
			.addKeyValue("reason", givenUp.reason())
			.log("Job failed: VMs crash under one of its tasks.");
	}

	private void startedAgain(Effect.StartedAgain startedAgain) {
		RunOver previous = startedAgain.previous();
		this.metrics.recordStartAgain(previous.evidence());
		Part.JOB.logger()
			.atInfo()
			.addKeyValue("job", startedAgain.task().job())
			.addKeyValue("token", this.term.token())
			.addKeyValue("task", startedAgain.task())
			.addKeyValue("run", startedAgain.run())
			.addKeyValue("vm", startedAgain.vm())
			.addKeyValue("boot", startedAgain.boot())
			.addKeyValue("previousRun", previous.run())
			.addKeyValue("previousVm", previous.vm())
			.addKeyValue("previousBoot", previous.boot())
			.addKeyValue("evidence", previous.evidence())
			.addKeyValue("evidenceAgeMs", startedAgain.evidenceAgeMs())
			.addKeyValue("silentBeforeMs", previous.silentMs())
			.log("Starting a task again.");
	}

	private void runsOverlap(Effect.RunsOverlap overlap) {
		this.metrics.recordRunsOverlap(overlap.over().evidence());
		twoRuns(overlap.task(), overlap.orphaned(), overlap.recorded(), overlap.over(), overlap.evidenceAgeMs())
			.log("Two runs of a task overlap.");
	}

	private void supersededRunDone(Effect.SupersededRunDone done) {
		this.metrics.recordSupersededRunDone(done.over().evidence());
		twoRuns(done.task(), done.done(), done.recorded(), done.over(), done.evidenceAgeMs())
			.log("A run has succeeded after its task was placed again.");
	}

	private LoggingEventBuilder twoRuns(TaskId task, RunSighting other, RunSighting recorded, RunOver over,
			long evidenceAgeMs) {
		return Part.JOB.logger()
			.atWarn()
			.addKeyValue("job", task.job())
			.addKeyValue("token", this.term.token())
			.addKeyValue("task", task)
			.addKeyValue("other", other)
			.addKeyValue("recorded", recorded)
			.addKeyValue("evidence", over.evidence())
			.addKeyValue("evidenceAgeMs", evidenceAgeMs)
			.addKeyValue("silentBeforeMs", over.silentMs());
	}

	private void start(Effect.Start start) {
		StartAnswer answer = ErrorBoundary.call("start " + start.task() + " on VM " + start.vm().id(),
				() -> leads() ? this.workerClient.start(start, this.term.token()) : StartAnswer.UNKNOWN,
				(error) -> StartAnswer.UNKNOWN);
		this.events.accept(new StartAnswered(start.task(), start.run(), answer));
	}

	private void stop(Effect.Stop stop) {
		boolean confirmed = ErrorBoundary.call("stop " + stop.task() + " on VM " + stop.vm().id(),
				() -> this.workerClient.stop(stop, this.term.token()), (error) -> false);
		if (confirmed) {
			this.events.accept(new StopAnswered(stop.task(), stop.run()));
		}
	}

	private void renew(Effect.Renew renew) {
		Effect.Renew sent = leads() ? renew : renew.askingOnly();
		Either<NoAnswer, VmAnswer> answer = ErrorBoundary.call("renew the lease of VM " + renew.vm().id(),
				() -> this.workerClient.renew(sent, this.term.token()),
				(error) -> Either.left(new NoAnswer("the answer could not be read: " + error, VmAbsence.UNKNOWN)));
		this.events.accept(new RenewalEnded(sent, answer));
	}

	/**
	 * Whether the process still leads. The machine may have stood still since the command
	 * was decided on, and a VM that has restarted meanwhile knows of no later coordinator
	 * and numbers its ends anew.
	 */
	private boolean leads() {
		return this.term.holdsLease(new Moment(this.ticker.millis(), System.currentTimeMillis()));
	}

}
