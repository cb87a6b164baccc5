package org.citronrelay.internal.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;

import io.vavr.control.Either;
import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmRegistration;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.Moment;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.schedule.VmAbsence;
import org.citronrelay.internal.schedule.VmAnswer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What {@link EffectExecutor} sends once the term has run out.
 */
class TermCheckAtSendTests {

	private static final VmRegistration VM = new VmRegistration("vm1", "pool", new Address("10.0.0.1", 1), "a", 1,
			false, VmRegistration.UNKNOWN, Resources.NONE, "r1", Set.of());

	private final Queue<Runnable> calls = new ArrayDeque<>();

	private final List<Effect> sent = new ArrayList<>();

	private final List<CoordinatorEvent> events = new ArrayList<>();

	private long now = 1_000;

	private final Term term = new Term(7, "lease", new Moment(this.now + 2_000, Long.MAX_VALUE), Long.MAX_VALUE);

	private final EffectExecutor executor = new EffectExecutor(new Coordinator.Dependencies(null, null, null,
			new RecordingClient(), null, this.calls::add, () -> this.now, new ClusterMetrics()), this.term,
			this.events::add);

	// Guards against a start that a coordinator sends after it stood still, to a VM that
	// has restarted and knows of no later coordinator.
	@Test
	void aStartIsNotSentOnceTheTermHasRunOut() {
		// given
		Effect.Start start = new Effect.Start(VM, new TaskId("job", 0, 0, 0), 1, "payload", "", 20_000);
		this.executor.execute(start);
		// when
		this.now += 3_000;
		this.calls.remove().run();
		// then
		assertThat(this.sent).isEmpty();
		assertThat(this.events)
			.containsExactly(new CoordinatorEvent.StartAnswered(start.task(), 1, StartAnswer.UNKNOWN));
	}

	@Test
	void aRenewalNeitherOffersNorAcknowledgesOnceTheTermHasRunOut() {
		// given
		Effect.Renew renewal = new Effect.Renew(VM, 20_000, 4, 1_500, 1_000);
		this.executor.execute(renewal);
		// when
		this.now += 3_000;
		this.calls.remove().run();
		// then
		Effect.Renew asking = new Effect.Renew(VM, 0, 0, 1_500, 1_000);
		assertThat(this.sent).containsExactly(asking);
		assertThat(this.events).singleElement()
			.isInstanceOfSatisfying(CoordinatorEvent.RenewalEnded.class,
					(ended) -> assertThat(ended.renewal()).isEqualTo(asking));
	}

	@Test
	void commandsAreSentAsDecidedWhileTheTermIsHeld() {
		// given
		Effect.Start start = new Effect.Start(VM, new TaskId("job", 0, 0, 0), 1, "payload", "", 20_000);
		Effect.Renew renewal = new Effect.Renew(VM, 20_000, 4, 1_500, 1_000);
		// when
		this.executor.execute(start);
		this.executor.execute(renewal);
		this.calls.forEach(Runnable::run);
		// then
		assertThat(this.sent).containsExactly(start, renewal);
	}

	/**
	 * Records the commands that are sent, and gives no answer to renewals.
	 */
	private final class RecordingClient implements WorkerClient {

		@Override
		public StartAnswer start(Effect.Start command, long token) {
			TermCheckAtSendTests.this.sent.add(command);
			return StartAnswer.STARTED;
		}

		@Override
		public boolean stop(Effect.Stop command, long token) {
			TermCheckAtSendTests.this.sent.add(command);
			return true;
		}

		@Override
		public Either<NoAnswer, VmAnswer> renew(Effect.Renew command, long token) {
			TermCheckAtSendTests.this.sent.add(command);
			return Either.left(new NoAnswer("planted", VmAbsence.UNKNOWN));
		}

	}

}
