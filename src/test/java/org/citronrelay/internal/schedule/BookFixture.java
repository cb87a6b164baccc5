package org.citronrelay.internal.schedule;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.Queue;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.Resources;
import org.citronrelay.internal.batch.Step;
import org.citronrelay.internal.batch.TaskId;
import org.citronrelay.internal.batch.VmReport;
import org.citronrelay.internal.http.Address;

/**
 * A book with VMs that obey, in virtual time. Orders take effect at once unless a VM is
 * cut off.
 */
final class BookFixture {

	static final ScheduleTimings TIMINGS = new ScheduleTimings(10_000, 10_000, 1_500, 400, 3_500, 3_000, 1_500, 5_000);

	static final Resources CAPACITY = new Resources(128_000, 512_000, 8);

	static final Resources SMALL = new Resources(11_000, 33_000, 1);

	static final long STEP_MS = 50;

	final Map<String, FakeVm> vms = new LinkedHashMap<>();

	/** The progress as it is stored, by job. */
	final Map<String, byte[]> progress = new LinkedHashMap<>();

	final Map<String, BatchJob> jobs = new LinkedHashMap<>();

	final List<Effect> seen = new ArrayList<>();

	long now = 1_000_000;

	boolean storeAway;

	/** Whether writes are turned away. */
	boolean refuseWrites;

	/** Whether a write takes effect although its answer is lost. */
	boolean loseAnswers;

	/** The token of the coordinator in office. */
	long token = 1;

	/** What VMs did against the rules. */
	final List<String> violations = new ArrayList<>();

	/** Tasks whose good end was acknowledged. */
	final Set<TaskId> acknowledged = new HashSet<>();

	private final Map<String, Long> revisions = new HashMap<>();

	JobBook book;

	private long revision = 100;

	BookFixture() {
		this.book = new JobBook(TIMINGS, moment());
		this.book.catalogue(catalogue());
	}

	static QueueCatalogue catalogue() {
		return new QueueCatalogue(1,
				List.of(entry("urgent", 0, 2, 1.5, 250), entry("normal", 1, 4, 3, 1_000),
						entry("bulk", 2, 4, 3, 3_000)),
				Map.of("team", new QueueCatalogue.Team("team", 8)), Map.of("key", "team"), 100_000);
	}

	Moment moment() {
		return new Moment(this.now, this.now);
	}

	FakeVm vm(String id, String rack) {
		FakeVm vm = new FakeVm(id, rack);
		this.vms.put(id, vm);
		this.book.vmSeen(vm.report(), moment());
		return vm;
	}

	BatchJob submit(String id, String queue, Step... steps) {
		BatchJob job = new BatchJob(id, queue, "team", "payload", List.of(steps), BatchJob.Repeat.ONCE, this.now);
		this.jobs.put(id, job);
		this.book.jobStored(job, moment());
		return job;
	}

	static Step step(int count, Resources each, long estimateMs) {
		return new Step(count, each, estimateMs, List.of(), Step.Shape.INDEPENDENT, Step.Limits.NONE, false);
	}

	static Step gang(int count, Resources each, long estimateMs, boolean sameRack) {
		return new Step(count, each, estimateMs, List.of(), new Step.Shape(true, sameRack, false, false),
				Step.Limits.NONE, false);
	}

	/**
	 * Lets a new coordinator take over from what is stored.
	 */
	void takeOver() {
		this.token++;
		this.book = new JobBook(TIMINGS, moment());
		this.book.catalogue(catalogue());
		this.jobs.values().forEach((job) -> this.book.jobStored(job, moment()));
		this.progress
			.forEach((id, document) -> this.book.progressStored(id, document, this.revisions.get(id), moment()));
		this.vms.values().forEach((vm) -> this.book.vmSeen(vm.report(), moment()));
	}

	/**
	 * Lets time pass, with a decision every {@link #STEP_MS}.
	 */
	void pass(long millis) {
		for (long end = this.now + millis; this.now < end; this.now += STEP_MS) {
			decide();
		}
	}

	void decide() {
		this.vms.values().forEach(FakeVm::obeyLate);
		this.book.advance(moment(), true);
		carryOut();
		if (!this.storeAway) {
			this.book.writes(15).forEach(this::store);
		}
		this.book.advance(moment(), true);
		carryOut();
	}

	/**
	 * Stores progress as the store does: under the revision that it replaces.
	 */
	private void store(JobBook.Write write) {
		if (this.refuseWrites) {
			this.book.notStored(write, write.revision());
			return;
		}
		long current = this.revisions.getOrDefault(write.job(), 0L);
		if (current != write.revision()) {
			boolean own = Arrays.equals(this.progress.get(write.job()), write.document());
			if (own) {
				this.book.stored(write, current);
			}
			else {
				this.book.notStored(write, current);
			}
			return;
		}
		this.progress.put(write.job(), write.document());
		this.revisions.put(write.job(), ++this.revision);
		if (this.loseAnswers) {
			this.book.notStored(write, write.revision());
		}
		else {
			this.book.stored(write, this.revision);
		}
	}

	String phase(String job) {
		return this.progress.containsKey(job) ? ProgressCodec.phase(this.progress.get(job)).name() : "QUEUED";
	}

	long startsOf(String job) {
		return this.seen.stream()
			.filter((effect) -> effect instanceof Effect.Start start && start.task().job().equals(job))
			.count();
	}

	private void carryOut() {
		List<Effect> effects = this.book.effects();
		this.seen.addAll(effects);
		for (Effect effect : effects) {
			switch (effect) {
				case Effect.Start start -> this.vms.get(start.vm().id()).start(start, this.token);
				case Effect.Stop stop -> this.vms.get(stop.vm().id()).stop(stop, this.token);
				case Effect.Renew renew -> this.vms.get(renew.vm().id()).renew(renew, this.token);
				case Effect.Note _ -> {
				}
			}
		}
	}

	private static QueueCatalogue.Entry entry(String name, int priority, int attempts, double slack, long objective) {
		return new QueueCatalogue.Entry("host", "/" + name + "/", false,
				new Queue(name, "pool", priority, attempts, slack, objective));
	}

	/**
	 * A VM that runs each task for its estimate.
	 */
	final class FakeVm {

		final String id;

		final String rack;

		final Map<TaskId, Run> running = new LinkedHashMap<>();

		final List<VmAnswer.Ended> ended = new ArrayList<>();

		long boot = 1;

		boolean cut;

		/** Whether connections to its address are refused. */
		boolean refusing;

		boolean failing;

		boolean hanging;

		/** Whether answers to renewals are lost on the way. */
		boolean answersLost;

		/** How much later orders to start take effect, unanswered; 0 for at once. */
		long delayMs;

		private final Map<TaskId, Long> barred = new HashMap<>();

		private final List<LateStart> late = new ArrayList<>();

		/**
		 * Ends that were not acknowledged before the lease lapsed; they need not count.
		 */
		private final Set<Long> endedBeforeLapse = new HashSet<>();

		private long highestToken;

		private long number;

		private long leaseUntil;

		FakeVm(String id, String rack) {
			this.id = id;
			this.rack = rack;
		}

		VmReport report() {
			return new VmReport(this.id, "pool", new Address("10.0.0.1", 1), "a", this.boot, false, CAPACITY, this.rack,
					Set.of("a", this.rack));
		}

		Resources free() {
			Resources free = CAPACITY;
			for (Run run : this.running.values()) {
				free = free.minus(run.needs());
			}
			return free;
		}

		void start(Effect.Start order, long by) {
			if (this.cut) {
				return;
			}
			if (this.delayMs > 0) {
				this.late.add(new LateStart(BookFixture.this.now + this.delayMs, order, by));
				return;
			}
			StartAnswer answer = obey(order, by);
			BookFixture.this.book.startAnswered(order.task(), order.run(), answer, moment());
		}

		/**
		 * Carries out the orders whose time has come though nobody waits for an answer.
		 */
		void obeyLate() {
			List<LateStart> due = this.late.stream().filter((order) -> order.at() <= BookFixture.this.now).toList();
			this.late.removeAll(due);
			due.forEach((order) -> obey(order.order(), order.by()));
		}

		private StartAnswer obey(Effect.Start order, long by) {
			work();
			if (by < this.highestToken) {
				return StartAnswer.FENCED;
			}
			this.highestToken = by;
			if (order.leaseUntil() <= BookFixture.this.now) {
				return StartAnswer.LATE;
			}
			this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil());
			Run present = this.running.get(order.task());
			if (present != null && present.number() == order.run()) {
				return StartAnswer.STARTED;
			}
			if (order.run() <= this.barred.getOrDefault(order.task(), 0L)) {
				return StartAnswer.OUTDATED;
			}
			Step step = BookFixture.this.jobs.get(order.task().job()).steps().get(order.task().step());
			this.running.put(order.task(), new Run(order.run(), BookFixture.this.now, step));
			judge(order);
			return StartAnswer.STARTED;
		}

		private void judge(Effect.Start order) {
			Resources free = free();
			if (free.cpuMillis() < 0 || free.memoryMb() < 0 || free.accelerators() < 0) {
				BookFixture.this.violations.add("over capacity on " + this.id + " by " + order.task());
			}
			for (FakeVm other : BookFixture.this.vms.values()) {
				other.work();
				if (other != this && other.running.containsKey(order.task())) {
					BookFixture.this.violations.add("twice: " + order.task() + " on " + other.id + " and " + this.id);
				}
			}
			if (BookFixture.this.acknowledged.contains(order.task())) {
				BookFixture.this.violations.add("started after its end was acknowledged: " + order.task());
			}
		}

		void stop(Effect.Stop order, long by) {
			if (this.cut || by < this.highestToken) {
				return;
			}
			this.highestToken = by;
			work();
			Run run = this.running.get(order.task());
			if (run != null && run.number() == order.run()) {
				end(order.task(), run, VmAnswer.How.STOPPED);
			}
			this.barred.merge(order.task(), order.run(), Math::max);
			BookFixture.this.book.stopAnswered(order.task(), order.run(), moment());
		}

		void renew(Effect.Renew order, long by) {
			if (this.cut || this.refusing || by < this.highestToken) {
				BookFixture.this.book.unanswered(this.id, this.refusing, moment());
				return;
			}
			this.highestToken = by;
			work();
			if (BookFixture.this.now > this.leaseUntil) {
				this.ended.forEach((end) -> this.endedBeforeLapse.add(end.number()));
			}
			this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil());
			for (VmAnswer.Ended end : this.ended) {
				if (end.number() <= order.acknowledge() && end.how() == VmAnswer.How.DONE
						&& !this.endedBeforeLapse.contains(end.number())) {
					BookFixture.this.acknowledged.add(end.task());
				}
			}
			this.ended.removeIf((end) -> end.number() <= order.acknowledge());
			if (this.answersLost) {
				BookFixture.this.book.unanswered(this.id, false, moment());
				return;
			}
			BookFixture.this.book.answered(this.id, answer(), moment());
		}

		/**
		 * Starts again and knows nothing of before.
		 */
		void reboot() {
			this.boot++;
			Map.copyOf(this.running).forEach((task, run) -> end(task, run, VmAnswer.How.LAPSED));
			this.running.clear();
			this.ended.clear();
			this.barred.clear();
			this.late.clear();
			this.endedBeforeLapse.clear();
			this.number = 0;
			this.highestToken = 0;
			this.leaseUntil = 0;
		}

		/**
		 * Lets runs come to their end.
		 */
		void work() {
			Map.copyOf(this.running).forEach((task, run) -> {
				if (!this.running.containsKey(task)) {
					return;
				}
				if (BookFixture.this.now > this.leaseUntil) {
					end(task, run, VmAnswer.How.LAPSED);
				}
				else if (this.failing) {
					end(task, run, VmAnswer.How.FAILED);
				}
				else if (finished(task, run)) {
					end(task, run, VmAnswer.How.DONE);
				}
			});
		}

		/**
		 * Whether a run has done its work; the members of a gang work from the moment
		 * when all are present.
		 */
		private boolean finished(TaskId task, Run run) {
			List<FakeVm> places = run.step().gang() ? membersOf(task, run) : List.of(this);
			int wanted = run.step().gang() ? run.step().count() : 1;
			long begun = places.stream()
				.flatMap((vm) -> vm.running.entrySet().stream())
				.filter((entry) -> together(entry.getKey(), entry.getValue(), task, run))
				.mapToLong((entry) -> entry.getValue().since())
				.max()
				.orElse(run.since());
			return places.size() == wanted && places.stream().noneMatch((vm) -> vm.hanging)
					&& BookFixture.this.now >= begun + run.step().estimateMs();
		}

		/**
		 * The VM of each member of a gang that runs, one entry a member.
		 */
		private List<FakeVm> membersOf(TaskId task, Run run) {
			List<FakeVm> places = new ArrayList<>();
			for (FakeVm vm : BookFixture.this.vms.values()) {
				vm.running.forEach((other, its) -> {
					if (together(other, its, task, run)) {
						places.add(vm);
					}
				});
			}
			return places;
		}

		private boolean together(TaskId other, Run its, TaskId task, Run run) {
			boolean sameStep = other.job().equals(task.job()) && other.step() == task.step()
					&& other.occurrence() == task.occurrence();
			return sameStep && (run.step().gang() ? its.number() == run.number() : other.equals(task));
		}

		/**
		 * Keeps everything that runs alive while time jumps.
		 */
		void renewAll() {
			this.leaseUntil = BookFixture.this.now + TIMINGS.longestLeaseMs();
		}

		/**
		 * Ends all runs as if another member of their gang had ended.
		 */
		void breakAll() {
			Map.copyOf(this.running).forEach((task, run) -> end(task, run, VmAnswer.How.BROKEN));
		}

		private void end(TaskId task, Run run, VmAnswer.How how) {
			List<FakeVm> others = run.step().gang() ? membersOf(task, run) : List.of();
			close(task, run, how);
			VmAnswer.How rest = (how != VmAnswer.How.DONE) ? VmAnswer.How.BROKEN : how;
			for (FakeVm vm : others) {
				Map.copyOf(vm.running).forEach((member, its) -> {
					if (together(member, its, task, run)) {
						vm.close(member, its, rest);
					}
				});
			}
		}

		private void close(TaskId task, Run run, VmAnswer.How how) {
			this.running.remove(task);
			this.barred.merge(task, run.number(), Math::max);
			this.ended.add(new VmAnswer.Ended(++this.number, task, run.number(), how, ""));
		}

		/**
		 * How far a run has come; a member of a gang that waits for others stands still.
		 */
		private int percent(TaskId task, Run run) {
			boolean waits = run.step().gang() && membersOf(task, run).size() < run.step().count();
			return (this.hanging || waits) ? 0
					: (int) (100 * (BookFixture.this.now - run.since()) / Math.max(1, run.step().estimateMs()));
		}

		private VmAnswer answer() {
			List<VmAnswer.Running> list = new ArrayList<>();
			this.running
				.forEach((task, run) -> list.add(new VmAnswer.Running(task, run.number(), "", percent(task, run))));
			return new VmAnswer(this.boot, BookFixture.this.now, list, this.ended);
		}

	}

	/**
	 * An order that takes effect later.
	 *
	 * @param at when
	 * @param order the order
	 * @param by the token of the coordinator that gave it
	 */
	private record LateStart(long at, Effect.Start order, long by) {
	}

	/**
	 * A run on a VM.
	 *
	 * @param number its number
	 * @param since when it began
	 * @param step its step
	 */
	record Run(long number, long since, Step step) {

		Resources needs() {
			return this.step.each();
		}

	}

}
