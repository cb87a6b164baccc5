package org.citronrelay.internal.gang;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.Reclaim;
import org.citronrelay.Shape;
import org.citronrelay.internal.gang.DomainState.KeptRoom;
import org.citronrelay.internal.placement.Allocation;
import org.citronrelay.internal.placement.Ask;
import org.citronrelay.internal.placement.Block;
import org.citronrelay.internal.placement.Choice;
import org.citronrelay.internal.placement.Fleet;
import org.citronrelay.internal.placement.FragmentationMeter;
import org.citronrelay.internal.placement.PlacementStrategy;
import org.citronrelay.internal.placement.Placer;

/**
 * One walk through the queue: starts what has room, in the order of importance, and keeps
 * room for the first job that has none.
 *
 * <p>
 * Smaller jobs may pass the first one. Into the room kept for it they go only if they can
 * be reclaimed, so that a wrong estimate of a run time never delays it.
 */
final class QueuePass {

	private static final double MOST_OFFSET_MS = 3_600_000;

	private static final double MS_PER_ACCELERATOR = 60_000;

	private final DomainDraft draft;

	private final GangSteps steps;

	private final Placer placer;

	private final Map<String, Integer> heldByTeam = new HashMap<>();

	private final Set<Ask> refused = new HashSet<>();

	private final Set<String> teamsWithBlocks = new HashSet<>();

	QueuePass(DomainDraft draft, GangSteps steps) {
		this.draft = draft;
		this.steps = steps;
		this.placer = new Placer(strategy(), lostWork());
		draft.plan().blocks().forEach((block) -> this.teamsWithBlocks.add(block.team()));
	}

	/**
	 * Walks through all jobs that wait.
	 */
	void all() {
		countHeld();
		Option<Job> head = Option.none();
		for (Job job : queue()) {
			if (overLimit(job) || starts(job)) {
				continue;
			}
			head = head.orElse(Option.some(job));
			head.forEach(this::keepRoom);
		}
		if (head.isEmpty() && this.draft.kept().isDefined()) {
			this.draft.keep(Option.none());
		}
	}

	/**
	 * Tries only the jobs that have just begun to wait: no room was freed, so the others
	 * would find none.
	 */
	void arrived() {
		countHeld();
		Set<String> arrived = this.draft.arrived();
		for (Job job : queue()) {
			if (arrived.contains(job.id()) && !overLimit(job)) {
				starts(job);
			}
		}
	}

	private boolean starts(Job job) {
		if (this.refused.contains(likeness(job))) {
			return false;
		}
		Option<Choice> choice = place(job);
		if (choice.isEmpty()) {
			refuse(job);
			return false;
		}
		count(job);
		this.steps.begin(job, choice.get());
		return true;
	}

	/**
	 * Remembers that a job found no room, for jobs like it. One that avoids VMs, or for
	 * which room is kept, says nothing of others.
	 */
	private void refuse(Job job) {
		boolean hasKept = this.draft.kept().exists((room) -> room.job().equals(job.id()));
		if (job.avoid().isEmpty() && !hasKept) {
			this.refused.add(likeness(job));
		}
	}

	private List<Job> queue() {
		Catalogue.Weights weights = this.draft.catalogue().weights();
		ToLongFunction<Job> order = (job) -> order(job, weights);
		return this.draft.jobs()
			.stream()
			.filter((job) -> job.phase() instanceof JobPhase.Queued queued && queued.notBefore() <= this.draft.now())
			.sorted(Comparator.comparingInt((Job job) -> job.record().owner().priority())
				.thenComparingLong(order)
				.thenComparing(Job::id))
			.toList();
	}

	/**
	 * The place of a job in its class: when it was submitted, later for long jobs where
	 * completion time counts, earlier for large ones where fragmentation counts. The
	 * offsets are bounded, so no job waits for ever behind newer ones.
	 */
	private long order(Job job, Catalogue.Weights weights) {
		double longer = Math.min(MOST_OFFSET_MS, this.draft.estimates().runMs(job.record()));
		double larger = Math.min(MOST_OFFSET_MS, job.record().spec().shape().totalAccelerators() * MS_PER_ACCELERATOR);
		return job.record().submittedAtMs() + (long) (weights.completionTime() * longer)
				- (long) (weights.fragmentation() * larger);
	}

	private Option<Choice> place(Job job) {
		Fleet fleet = this.draft.fleet();
		for (String vm : job.avoid()) {
			int index = fleet.indexOf(vm);
			fleet = (index >= 0) ? fleet.withUsable(index, false) : fleet;
		}
		Option<Choice> choice = this.placer.place(fleet, job.ask());
		boolean hasKept = this.draft.kept().exists((room) -> room.job().equals(job.id()));
		return (choice.isEmpty() && hasKept) ? this.placer.placeInKept(fleet, job.ask()) : choice;
	}

	/**
	 * Keeps room for a job, unless room is kept for it already or it has not waited long
	 * enough.
	 */
	private void keepRoom(Job job) {
		boolean waitedLong = this.draft.now() - job.acceptedAt() >= this.draft.timings().keepAfterMs();
		if (!waitedLong || this.draft.kept().exists((room) -> room.job().equals(job.id()) && stands(room, job))) {
			return;
		}
		this.draft.keep(Option.none());
		Option<List<Allocation>> room = this.placer.roomToKeep(this.draft.fleet(), job.ask(), this::endsAt);
		if (room.isEmpty()) {
			this.draft.replanAnew();
			room = this.placer.roomToKeep(this.draft.fleet(), job.ask(), this::endsAt);
		}
		room.forEach((allocations) -> this.draft.keep(Option.some(new KeptRoom(job.id(), allocations))));
	}

	/**
	 * Whether kept room is still of use: its VMs take new work, and no block of another
	 * team was moved over it.
	 */
	private boolean stands(KeptRoom room, Job job) {
		String team = job.record().owner().teamId();
		return room.allocations().stream().allMatch((allocation) -> this.draft.fleet().open(allocation, team));
	}

	private long endsAt(String jobId) {
		long now = this.draft.now();
		return this.draft.job(jobId).map((job) -> switch (job.phase()) {
			case JobPhase.Running running -> this.draft.estimates().endsAt(job.record(), running.startedAt(), now);
			case JobPhase.Ending ending -> ending.lapsedAt();
			default -> now + this.draft.estimates().runMs(job.record());
		}).getOrElse(now);
	}

	private void countHeld() {
		this.draft.jobs().stream().filter((job) -> job.phase() instanceof JobPhase.Holding).forEach(this::count);
	}

	private void count(Job job) {
		this.heldByTeam.merge(job.record().owner().teamId(), job.record().spec().shape().totalAccelerators(),
				Integer::sum);
	}

	private boolean overLimit(Job job) {
		int limit = this.draft.catalogue()
			.team(job.record().owner().team())
			.map((Team team) -> team.limits().accelerators())
			.getOrElse(0);
		int held = this.heldByTeam.getOrDefault(job.record().owner().teamId(), 0);
		return held + job.record().spec().shape().totalAccelerators() > limit;
	}

	/**
	 * Two jobs with the same likeness find room, or not, alike. The team matters only
	 * where it has blocks of its own.
	 */
	private Ask likeness(Job job) {
		Ask ask = job.ask();
		String team = this.teamsWithBlocks.contains(ask.team()) ? ask.team() : "";
		return new Ask("", team, ask.shape(), ask.reclaimable(), ask.urgent());
	}

	private PlacementStrategy strategy() {
		Shape reference = this.draft.plan()
			.blocks()
			.stream()
			.map(Block::shape)
			.max(Comparator.comparingInt(Shape::totalAccelerators))
			.orElse(FragmentationMeter.defaultReference());
		return new PlacementStrategy.ShapePreserving(reference, this.draft.catalogue().weights().fragmentation());
	}

	private ToLongFunction<String> lostWork() {
		return (jobId) -> this.draft.job(jobId)
			.map((job) -> (job.phase() instanceof JobPhase.Running running
					&& job.record().owner().reclaim() != Reclaim.CHECKPOINT) ? this.draft.now() - running.startedAt()
							: 0L)
			.getOrElse(0L);
	}

}
