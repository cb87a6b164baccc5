package org.citronrelay.internal.schedule;

import java.util.ArrayList;
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

	static final ScheduleTimings TIMINGS = new ScheduleTimings(10_000, 10_000, 1_500, 400, 3_500, 5_000);

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
		this.book = new JobBook(TIMINGS, moment());
		this.book.catalogue(catalogue());
		this.jobs.values().forEach((job) -> this.book.jobStored(job, moment()));
		this.progress.forEach((id, document) -> this.book.progressStored(id, document, this.revision, moment()));
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
		this.book.advance(moment(), true);
		carryOut();
		if (!this.storeAway) {
			for (JobBook.Write write : this.book.writes(15)) {
				this.progress.put(write.job(), write.document());
				this.book.stored(write, ++this.revision);
			}
		}
		this.book.advance(moment(), true);
		carryOut();
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
				case Effect.Start start -> this.vms.get(start.vm().id()).start(start);
				case Effect.Stop stop -> this.vms.get(stop.vm().id()).stop(stop);
				case Effect.Renew renew -> this.vms.get(renew.vm().id()).renew(renew);
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

		boolean failing;

		boolean hanging;

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

		void start(Effect.Start order) {
			if (this.cut) {
				return;
			}
			work();
			this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil());
			Step step = BookFixture.this.jobs.get(order.task().job()).steps().get(order.task().step());
			this.running.putIfAbsent(order.task(), new Run(order.run(), BookFixture.this.now, step));
			BookFixture.this.book.startAnswered(order.task(), order.run(), StartAnswer.STARTED, moment());
		}

		void stop(Effect.Stop order) {
			if (this.cut) {
				return;
			}
			work();
			Run run = this.running.get(order.task());
			if (run != null && run.number() == order.run()) {
				end(order.task(), run, VmAnswer.How.STOPPED);
			}
			BookFixture.this.book.stopAnswered(order.task(), order.run(), moment());
		}

		void renew(Effect.Renew order) {
			if (this.cut) {
				BookFixture.this.book.unanswered(this.id, moment());
				return;
			}
			work();
			this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil());
			this.ended.removeIf((end) -> end.number() <= order.acknowledge());
			BookFixture.this.book.answered(this.id, answer(), moment());
		}

		/**
		 * Lets runs come to their end.
		 */
		void work() {
			Map.copyOf(this.running).forEach((task, run) -> {
				if (BookFixture.this.now > this.leaseUntil) {
					end(task, run, VmAnswer.How.LAPSED);
				}
				else if (this.failing) {
					end(task, run, VmAnswer.How.FAILED);
				}
				else if (!this.hanging && BookFixture.this.now >= run.since() + run.step().estimateMs()) {
					end(task, run, VmAnswer.How.DONE);
				}
			});
		}

		/**
		 * Ends all runs as if another member of their gang had ended.
		 */
		void breakAll() {
			Map.copyOf(this.running).forEach((task, run) -> end(task, run, VmAnswer.How.BROKEN));
		}

		private void end(TaskId task, Run run, VmAnswer.How how) {
			this.running.remove(task);
			this.ended.add(new VmAnswer.Ended(++this.number, task, run.number(), how, ""));
		}

		private VmAnswer answer() {
			List<VmAnswer.Running> list = new ArrayList<>();
			this.running.forEach((task, run) -> list.add(new VmAnswer.Running(task, run.number(), "", this.hanging ? 0
					: (int) (100 * (BookFixture.this.now - run.since()) / Math.max(1, run.step().estimateMs())))));
			return new VmAnswer(this.boot, BookFixture.this.now, list, this.ended);
		}

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
