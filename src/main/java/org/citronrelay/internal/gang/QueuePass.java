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
import org.citronrelay.internal.gang.DomainState.BackfillReservation;
import org.citronrelay.internal.placement.Allocation;
import org.citronrelay.internal.placement.Block;
import org.citronrelay.internal.placement.Fleet;
import org.citronrelay.internal.placement.FragmentationMeter;
import org.citronrelay.internal.placement.GangPlacer;
import org.citronrelay.internal.placement.Placement;
import org.citronrelay.internal.placement.PlacementRequest;
import org.citronrelay.internal.placement.PlacementStrategy;

/**
 * One pass over the queue with backfill: starts the jobs for which there is capacity, in
 * the order of the queue, and reserves capacity for the first job that finds none.
 *
 * <p>
 * Later jobs may start before that first job. On the capacity reserved for it only jobs
 * that can be reclaimed are started, so a wrong run time estimate never delays it.
 */
final class QueuePass {

	private static final double MAX_OFFSET_MS = 3_600_000;

	private static final double OFFSET_MS_PER_ACCELERATOR = 60_000;

	private final DomainDraft draft;

	private final GangLifecycle lifecycle;

	private final GangPlacer placer;

	private final Map<String, Integer> allocatedByTeam = new HashMap<>();

	private final Set<PlacementRequest> unplaceable = new HashSet<>();

	private final Set<String> teamsWithBlocks = new HashSet<>();

	QueuePass(DomainDraft draft, GangLifecycle lifecycle) {
		this.draft = draft;
		this.lifecycle = lifecycle;
		this.placer = new GangPlacer(strategy(), lostWork());
		draft.plan().blocks().forEach((block) -> this.teamsWithBlocks.add(block.team()));
	}

	/**
	 * Tries to start all queued jobs.
	 */
	void tryAll() {
		countAllocated();
		Option<Job> head = Option.none();
		for (Job job : queue()) {
			if (overLimit(job) || tryStart(job)) {
				continue;
			}
			head = head.orElse(Option.some(job));
			head.forEach(this::reserveBackfill);
		}
		if (head.isEmpty() && this.draft.backfillReservation().isDefined()) {
			this.draft.backfillReservation(Option.none());
		}
	}

	/**
	 * Tries to start only the jobs that were queued in this decision. No capacity was
	 * freed, so the others would find none.
	 */
	void tryNewlyQueued() {
		countAllocated();
		Set<String> newlyQueued = this.draft.newlyQueued();
		for (Job job : queue()) {
			if (newlyQueued.contains(job.id()) && !overLimit(job)) {
				tryStart(job);
			}
		}
	}

	/**
	 * Starts an attempt of a job if it can be placed; returns whether it was started.
	 */
	private boolean tryStart(Job job) {
		if (this.unplaceable.contains(equivalenceKey(job))) {
			return false;
		}
		Option<Placement> placement = place(job);
		if (placement.isEmpty()) {
			rememberUnplaceable(job);
			return false;
		}
		countAllocated(job);
		this.lifecycle.startAttempt(job, placement.get());
		return true;
	}

	/**
	 * Remembers that a job cannot be placed, so that equivalent jobs are skipped in this
	 * pass. A job that avoids VMs or has a backfill reservation is placed by its own
	 * rules, so the result does not apply to other jobs.
	 */
	private void rememberUnplaceable(Job job) {
		boolean hasReservation = this.draft.backfillReservation()
			.exists((reservation) -> reservation.job().equals(job.id()));
		if (job.avoidedVms().isEmpty() && !hasReservation) {
			this.unplaceable.add(equivalenceKey(job));
		}
	}

	/**
	 * Returns the queued jobs that may be placed now, by priority and then by their
	 * position.
	 */
	private List<Job> queue() {
		Catalogue.Weights weights = this.draft.catalogue().weights();
		ToLongFunction<Job> position = (job) -> queuePosition(job, weights);
		return this.draft.jobs()
			.stream()
			.filter((job) -> job.phase() instanceof GangPhase.Queued queued && queued.notBefore() <= this.draft.now())
			.sorted(Comparator.comparingInt((Job job) -> job.record().owner().priority())
				.thenComparingLong(position)
				.thenComparing(Job::id))
			.toList();
	}

	/**
	 * Returns the position of a job among those of its priority: its submission time in
	 * milliseconds, plus an offset for long jobs by the weight of completion time, minus
	 * an offset for large jobs by the weight of fragmentation. The offsets are bounded,
	 * so newer jobs cannot delay a job indefinitely.
	 */
	private long queuePosition(Job job, Catalogue.Weights weights) {
		double longJobOffset = Math.min(MAX_OFFSET_MS, this.draft.estimates().runMs(job.record()));
		double largeJobOffset = Math.min(MAX_OFFSET_MS,
				job.record().spec().shape().totalAccelerators() * OFFSET_MS_PER_ACCELERATOR);
		return job.record().submittedAtMs() + (long) (weights.completionTime() * longJobOffset)
				- (long) (weights.fragmentation() * largeJobOffset);
	}

	/**
	 * Finds a placement for a job on VMs that it does not avoid, or nothing. Capacity
	 * reserved for the job is used only if there is no other.
	 */
	private Option<Placement> place(Job job) {
		Fleet fleet = this.draft.fleet();
		for (String vm : job.avoidedVms()) {
			int index = fleet.indexOf(vm);
			fleet = (index >= 0) ? fleet.withUsable(index, false) : fleet;
		}
		Option<Placement> placement = this.placer.place(fleet, job.placementRequest());
		boolean hasReservation = this.draft.backfillReservation()
			.exists((reservation) -> reservation.job().equals(job.id()));
		return (placement.isEmpty() && hasReservation) ? this.placer.placeInReservation(fleet, job.placementRequest())
				: placement;
	}

	/**
	 * Reserves capacity for a job, unless it has a usable reservation already or has
	 * waited less than {@link DomainTimings#keepAfterMs}. If none can be reserved, the
	 * guarantees are planned from scratch and the reservation is tried again.
	 */
	private void reserveBackfill(Job job) {
		boolean waitedLongEnough = this.draft.now() - job.knownSince() >= this.draft.timings().keepAfterMs();
		if (!waitedLongEnough || this.draft.backfillReservation()
			.exists((reservation) -> reservation.job().equals(job.id()) && stillUsable(reservation, job))) {
			return;
		}
		this.draft.backfillReservation(Option.none());
		Option<List<Allocation>> capacity = this.placer.findReservation(this.draft.fleet(), job.placementRequest(),
				this::expectedEnd);
		if (capacity.isEmpty()) {
			this.draft.replanFromScratch();
			capacity = this.placer.findReservation(this.draft.fleet(), job.placementRequest(), this::expectedEnd);
		}
		capacity.forEach((allocations) -> this.draft
			.backfillReservation(Option.some(new BackfillReservation(job.id(), allocations))));
	}

	/**
	 * Whether a reservation can still be used: its VMs accept new members, and no block
	 * of another team was moved onto it.
	 */
	private boolean stillUsable(BackfillReservation reservation, Job job) {
		String team = job.record().owner().teamId();
		return reservation.allocations()
			.stream()
			.allMatch((allocation) -> this.draft.fleet().accepts(allocation, team));
	}

	/**
	 * Returns when a job is expected to free its capacity, in monotonic milliseconds; the
	 * present time for a job that is not known.
	 */
	private long expectedEnd(String jobId) {
		long now = this.draft.now();
		return this.draft.job(jobId).map((job) -> switch (job.phase()) {
			case GangPhase.Running running ->
				this.draft.estimates().expectedEnd(job.record(), running.startedAt(), now);
			case GangPhase.Ending ending -> ending.leasesExpiredAt();
			default -> now + this.draft.estimates().runMs(job.record());
		}).getOrElse(now);
	}

	private void countAllocated() {
		this.draft.jobs()
			.stream()
			.filter((job) -> job.phase() instanceof GangPhase.Allocated)
			.forEach(this::countAllocated);
	}

	private void countAllocated(Job job) {
		this.allocatedByTeam.merge(job.record().owner().teamId(), job.record().spec().shape().totalAccelerators(),
				Integer::sum);
	}

	/**
	 * Whether a job would take its team over the team's accelerator limit. A team that is
	 * no longer in the catalogue has a limit of 0.
	 */
	private boolean overLimit(Job job) {
		int limit = this.draft.catalogue()
			.team(job.record().owner().team())
			.map((Team team) -> team.limits().accelerators())
			.getOrElse(0);
		int allocated = this.allocatedByTeam.getOrDefault(job.record().owner().teamId(), 0);
		return allocated + job.record().spec().shape().totalAccelerators() > limit;
	}

	/**
	 * Returns a key that is equal for two jobs if the same placements are possible for
	 * both. The team is part of the key only if it has guaranteed blocks.
	 */
	private PlacementRequest equivalenceKey(Job job) {
		PlacementRequest request = job.placementRequest();
		String team = this.teamsWithBlocks.contains(request.team()) ? request.team() : "";
		return new PlacementRequest("", team, request.shape(), request.reclaimable(), request.urgent());
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

	/**
	 * Returns a function from the id of a job to the run time in milliseconds that is
	 * lost if the job is reclaimed: 0 unless it is running and saves no checkpoints.
	 */
	private ToLongFunction<String> lostWork() {
		return (jobId) -> this.draft.job(jobId)
			.map((job) -> (job.phase() instanceof GangPhase.Running running
					&& job.record().owner().reclaim() != Reclaim.CHECKPOINT) ? this.draft.now() - running.startedAt()
							: 0L)
			.getOrElse(0L);
	}

}
