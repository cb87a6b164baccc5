package org.citronrelay.internal.cluster;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.citronrelay.internal.batch.JobCodec;
import org.citronrelay.internal.cluster.ClusterStore.Put;
import org.citronrelay.internal.cluster.ClusterStore.Transaction;
import org.citronrelay.internal.cluster.CoordinatorEvent.CancelStored;
import org.citronrelay.internal.cluster.CoordinatorEvent.CatalogueSeen;
import org.citronrelay.internal.cluster.CoordinatorEvent.JobRemoved;
import org.citronrelay.internal.cluster.CoordinatorEvent.JobStored;
import org.citronrelay.internal.cluster.CoordinatorEvent.Renewed;
import org.citronrelay.internal.cluster.CoordinatorEvent.StartAnswered;
import org.citronrelay.internal.cluster.CoordinatorEvent.StopAnswered;
import org.citronrelay.internal.cluster.CoordinatorEvent.VmGone;
import org.citronrelay.internal.cluster.CoordinatorEvent.VmSeen;
import org.citronrelay.internal.cluster.CoordinatorEvent.Written;
import org.citronrelay.internal.logging.Part;
import org.citronrelay.internal.platform.KvEntry;
import org.citronrelay.internal.schedule.Effect;
import org.citronrelay.internal.schedule.JobBook;
import org.citronrelay.internal.schedule.Moment;
import org.citronrelay.internal.schedule.StartAnswer;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * Runs one term of a coordinator: it feeds the {@link JobBook} and does what it decides.
 */
final class Coordinator {

	/** The longest time between two decisions, in milliseconds. */
	private static final long TICK_MS = 50;

	/** How long events gather before a decision, in milliseconds. */
	private static final long GATHER_MS = 3;

	/** A decision's share of the coordinator's time is at most one in this many. */
	private static final int DECISION_SHARE = 4;

	/** How many jobs fit into a transaction beside the check of the term. */
	private static final int JOBS_A_WRITE = (ClusterStore.TRANSACTION_ENTRIES - 1) / 2;

	/** How long to wait after a failed write. */
	private static final long WRITE_RETRY_MS = 100;

	/** How long a watch waits, in milliseconds. */
	private static final long WATCH_MS = 2_000;

	/** How long reports of VMs gather, in milliseconds. */
	private static final long REPORTS_MS = 250;

	private final BlockingQueue<CoordinatorEvent> events = new LinkedBlockingQueue<>();

	private final Parts parts;

	private final Term term;

	private final JobBook book;

	private volatile JobBook.Figures figures;

	private final DecisionPace pace;

	private final Housekeeping housekeeping;

	private boolean writing;

	Coordinator(Parts parts, Term term) {
		this.parts = parts;
		this.term = term;
		this.book = new JobBook(parts.settings().coordination().timings(), now());
		this.figures = this.book.figures();
		this.housekeeping = new Housekeeping(parts.store(), parts.executor(), term.token(),
				parts.settings().keepEndedMs());
		this.pace = new DecisionPace(parts.metrics(), parts.ticker().millis());
	}

	/**
	 * Coordinates until the term is over.
	 */
	void run() {
		PrefixFeed work = new PrefixFeed(this.parts.store(), Keys.WORK, WATCH_MS, 0, this::workWritten,
				this::workRemoved);
		PrefixFeed vms = new PrefixFeed(this.parts.store(), this.parts.sources().vmPrefix(), WATCH_MS, REPORTS_MS,
				this::vmWritten, this::vmRemoved);
		if (!load(work, vms)) {
			return;
		}
		Thread.ofVirtual().name("work-feed").start(() -> work.follow(() -> !this.term.over()));
		Thread.ofVirtual().name("vm-feed").start(() -> vms.follow(() -> !this.term.over()));
		while (!this.term.over()) {
			step();
		}
	}

	/**
	 * Tells the coordinator of a new version of the queues.
	 */
	void tell(CoordinatorEvent event) {
		this.events.add(event);
	}

	/**
	 * What the coordinator last saw, for operators.
	 */
	JobBook.Figures figures() {
		return this.figures;
	}

	/**
	 * Reads what earlier coordinators left, until that worked or the term is over.
	 */
	private boolean load(PrefixFeed work, PrefixFeed vms) {
		long began = this.parts.ticker().millis();
		tell(new CatalogueSeen(this.parts.catalogue().current()));
		while (!this.term.over()) {
			if (work.load() && loadProgress() && vms.load()) {
				this.parts.metrics().tookOffice(this.parts.ticker().millis() - began);
				Part.HOLDER.logger()
					.atInfo()
					.addKeyValue("token", this.term.token())
					.addKeyValue("tookMs", this.parts.ticker().millis() - began)
					.addKeyValue("figures", this.book.figures())
					.log("Read what is stored.");
				return true;
			}
			Pause.millis(WRITE_RETRY_MS);
		}
		return false;
	}

	private boolean loadProgress() {
		takeEvents(0);
		return this.parts.store().list(Keys.PROGRESS).peek((snapshot) -> {
			for (KvEntry entry : snapshot.entries()) {
				this.book.progressStored(entry.key().substring(Keys.PROGRESS.length()), entry.value(), entry.revision(),
						now());
			}
		}).isRight();
	}

	private void step() {
		takeEvents(TICK_MS);
		long began = this.parts.ticker().millis();
		this.book.advance(now(), this.term.sure(began));
		this.book.effects().forEach(this::carryOut);
		write();
		this.figures = this.housekeeping.run(this.book, this.parts.ticker().millis());
		this.pace.took(began, this.parts.ticker().millis());
		Pause.millis(Math.max(GATHER_MS, (this.parts.ticker().millis() - began) * (DECISION_SHARE - 1)));
	}

	private void takeEvents(long waitMs) {
		try {
			List<CoordinatorEvent> taken = new ArrayList<>();
			CoordinatorEvent first = this.events.poll(waitMs, TimeUnit.MILLISECONDS);
			if (first != null) {
				taken.add(first);
			}
			this.events.drainTo(taken);
			taken.forEach(this::take);
		}
		catch (InterruptedException ex) {
			this.term.end();
			Thread.currentThread().interrupt();
		}
	}

	private void take(CoordinatorEvent event) {
		Moment now = now();
		switch (event) {
			case JobStored stored -> this.book.jobStored(stored.job(), now);
			case CancelStored stored -> this.book.cancelled(stored.job(), now);
			case JobRemoved removed -> this.book.forget(removed.job());
			case VmSeen seen -> this.book.vmSeen(seen.report(), now);
			case VmGone gone -> this.book.vmGone(gone.vm(), now);
			case CatalogueSeen seen -> this.book.catalogue(seen.catalogue());
			case Renewed renewed -> renewed(renewed, now);
			case StartAnswered answered -> startAnswered(answered, now);
			case StopAnswered answered -> this.book.stopAnswered(answered.task(), answered.run(), now);
			case Written written -> written(written);
		}
	}

	private void renewed(Renewed renewed, Moment now) {
		this.parts.metrics().renewed(renewed.answer().isRight());
		renewed.answer().peek((answer) -> this.book.answered(renewed.vm(), answer, now)).peekLeft((silence) -> {
			Part.WORKER.logger()
				.atWarn()
				.addKeyValue("vm", renewed.vm())
				.addKeyValue("reason", silence.reason())
				.log("A renewal was not answered.");
			this.book.unanswered(renewed.vm(), silence.nobodyThere(), now);
		});
	}

	private void startAnswered(StartAnswered answered, Moment now) {
		this.parts.metrics().started(answered.answer());
		if (answered.answer() == StartAnswer.FENCED) {
			Part.HOLDER.logger()
				.atWarn()
				.addKeyValue("token", this.term.token())
				.log("A VM obeys a later coordinator.");
		}
		this.book.startAnswered(answered.task(), answered.run(), answered.answer(), now);
	}

	private void carryOut(Effect effect) {
		long token = this.term.token();
		switch (effect) {
			case Effect.Start start -> this.parts.executor()
				.execute(() -> tell(
						new StartAnswered(start.task(), start.run(), this.parts.orders().start(start, token))));
			case Effect.Stop stop -> this.parts.executor().execute(() -> {
				if (this.parts.orders().stop(stop, token)) {
					tell(new StopAnswered(stop.task(), stop.run()));
				}
			});
			case Effect.Renew renew -> this.parts.executor()
				.execute(() -> tell(new Renewed(renew.vm().id(), this.parts.orders().renew(renew, token))));
			case Effect.Note note -> Part.JOB.logger()
				.atInfo()
				.addKeyValue("job", note.job())
				.addKeyValue("token", token)
				.addKeyValue("why", note.why())
				.log(note.what());
		}
	}

	private void write() {
		if (this.writing) {
			return;
		}
		List<JobBook.Write> writes = this.book.writes(JOBS_A_WRITE);
		if (writes.isEmpty()) {
			return;
		}
		this.writing = true;
		Map<String, Long> expected = new HashMap<>();
		expected.put(Keys.COORDINATOR, this.term.token());
		writes.forEach((write) -> expected.put(Keys.PROGRESS + write.job(), write.revision()));
		List<Put> puts = writes.stream()
			.map((write) -> new Put(Keys.PROGRESS + write.job(), write.document(), ""))
			.toList();
		this.parts.executor().execute(() -> {
			Either<StoreFailure, Long> result = this.parts.store().transact(new Transaction(expected, puts, List.of()));
			if (result.isLeft() && !(result.getLeft() instanceof StoreFailure.Conflict)) {
				Part.PLATFORM.logger()
					.atWarn()
					.addKeyValue("jobs", writes.size())
					.addKeyValue("reason", result.getLeft().phrase())
					.log("Progress was not stored; tries again.");
				Pause.millis(WRITE_RETRY_MS);
			}
			tell(new Written(writes, result));
		});
	}

	private void written(Written written) {
		this.writing = false;
		if (written.result().isRight()) {
			written.writes().forEach((write) -> this.book.stored(write, written.result().get()));
		}
		else if (written.result().getLeft() instanceof StoreFailure.Conflict conflicts) {
			resolve(written.writes(), conflicts);
		}
		else {
			written.writes().forEach((write) -> this.book.notStored(write, write.revision()));
		}
	}

	/**
	 * A conflict is either the end of this term, or an earlier write of this coordinator
	 * that took effect without an answer.
	 */
	private void resolve(List<JobBook.Write> writes, StoreFailure.Conflict conflicts) {
		Map<String, KvEntry> current = conflicts.current()
			.stream()
			.collect(Collectors.toMap(KvEntry::key, (entry) -> entry, (one, _) -> one));
		KvEntry office = current.get(Keys.COORDINATOR);
		if (office == null || office.revision() != this.term.token()) {
			Part.HOLDER.logger().atWarn().addKeyValue("token", this.term.token()).log("Another coordinator took over.");
			this.term.end();
			return;
		}
		for (JobBook.Write write : writes) {
			KvEntry entry = current.get(Keys.PROGRESS + write.job());
			long revision = (entry != null) ? entry.revision() : 0;
			if (entry != null && Arrays.equals(entry.value(), write.document())) {
				this.book.stored(write, revision);
			}
			else {
				this.book.notStored(write, revision);
			}
		}
	}

	/**
	 * Takes in a record of work, from the watch or from the process that stored it.
	 */
	void workWritten(KvEntry entry) {
		if (entry.key().startsWith(Keys.JOBS)) {
			String id = entry.key().substring(Keys.JOBS.length());
			tell(new JobStored(JobCodec.decode(id, entry.value())));
		}
		else if (entry.key().startsWith(Keys.CANCELS)) {
			tell(new CancelStored(entry.key().substring(Keys.CANCELS.length())));
		}
	}

	private void workRemoved(String key) {
		if (key.startsWith(Keys.JOBS)) {
			tell(new JobRemoved(key.substring(Keys.JOBS.length())));
		}
	}

	private void vmWritten(KvEntry entry) {
		String id = entry.key().substring(this.parts.sources().vmPrefix().length());
		this.parts.sources().vm(id, entry.value()).peek((report) -> tell(new VmSeen(report)));
	}

	private void vmRemoved(String key) {
		tell(new VmGone(key.substring(this.parts.sources().vmPrefix().length())));
	}

	private Moment now() {
		return new Moment(this.parts.ticker().millis(), System.currentTimeMillis());
	}

	/**
	 * What a coordinator works with.
	 *
	 * @param settings the settings of the process
	 * @param store the cluster's store
	 * @param sources what others write into the store
	 * @param orders the way to the VMs
	 * @param catalogue the queues
	 * @param executor runs calls to the outside
	 * @param ticker the monotonic clock
	 * @param metrics the figures of the process
	 */
	record Parts(ClusterSettings settings, ClusterStore store, ClusterSources sources, WorkerOrders orders,
			CatalogueWatch catalogue, Executor executor, Ticker ticker, ClusterMetrics metrics) {
	}

}
