package org.citronrelay.internal.gang;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.Shape;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.placement.Allocation;
import org.citronrelay.internal.placement.Block;
import org.citronrelay.internal.placement.Fleet;
import org.citronrelay.internal.placement.FragmentationMeter;
import org.citronrelay.internal.placement.GuaranteePlan;
import org.citronrelay.internal.placement.GuaranteePlan.Shortfall;

/**
 * The state on which the holder of a failure domain decides. Immutable.
 *
 * @param failureDomain the failure domain
 * @param epoch the epoch of the holder
 * @param timings the time limits
 * @param catalogue the catalogue in force
 * @param fleet the VMs with the resources that are held on them
 * @param plan the blocks that are set aside for the guarantees
 * @param jobs the jobs that have not ended, by id
 * @param backfillReservation the capacity reserved for the job at the head of the queue
 * @param unreachable the ids of the VMs that did not answer the last call
 * @param failures the failed jobs of each VM and the quarantined VMs
 * @param estimates the measured run times of jobs relative to the declared ones
 * @param nextRenewAt when task leases are renewed next, in monotonic milliseconds
 */
public record DomainState(String failureDomain, long epoch, DomainTimings timings, Catalogue catalogue, Fleet fleet,
		GuaranteePlan plan, Map<String, Job> jobs, Option<BackfillReservation> backfillReservation,
		Set<String> unreachable, VmFailures failures, RunTimeEstimates estimates, long nextRenewAt) {

	public DomainState {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(timings, "timings");
		Objects.requireNonNull(catalogue, "catalogue");
		Objects.requireNonNull(fleet, "fleet");
	}

	/**
	 * Returns the state of a failure domain without VMs and jobs.
	 */
	public static DomainState empty(String failureDomain, long epoch, DomainTimings timings) {
		return new DomainState(failureDomain, epoch, timings, Catalogue.EMPTY, Fleet.EMPTY, GuaranteePlan.EMPTY,
				HashMap.empty(), Option.none(), HashSet.empty(), VmFailures.NONE, RunTimeEstimates.NONE,
				Long.MIN_VALUE);
	}

	/**
	 * Returns the number of queued jobs.
	 */
	public int queuedJobs() {
		return this.jobs.count((job) -> job._2().phase() instanceof GangPhase.Queued);
	}

	/**
	 * Returns how many accelerators all queued jobs need together.
	 */
	public int queuedAccelerators() {
		return this.jobs.values()
			.filter((job) -> job.phase() instanceof GangPhase.Queued)
			.map((job) -> job.record().spec().shape().totalAccelerators())
			.sum()
			.intValue();
	}

	/**
	 * Returns the record of a job, or nothing if this holder does not know the job.
	 */
	public Option<JobRecord> record(String jobId) {
		return this.jobs.get(jobId).map(Job::record);
	}

	/**
	 * Returns the summary of the failure domain that the reports show.
	 * @param now the present time in monotonic milliseconds
	 */
	public ObjectNode summary(long now) {
		Shape reference = this.plan.blocks()
			.stream()
			.map(Block::shape)
			.max(Comparator.comparingInt(Shape::totalAccelerators))
			.orElse(FragmentationMeter.defaultReference());
		ObjectNode body = Json.object()
			.put("name", this.failureDomain)
			.put("jobs", this.jobs.size())
			.put("queued", queuedJobs())
			.put("idleAccelerators", FragmentationMeter.idleAccelerators(this.fleet))
			.put("unusableShare", FragmentationMeter.unusableShare(this.fleet, reference))
			.put("reference", reference.toString());
		body.putArray("shortfalls");
		for (Shortfall shortfall : this.plan.shortfalls()) {
			body.withArray("shortfalls").add(shortfall.guaranteedShape().id() + ": " + shortfall.reason());
		}
		this.failures.quarantinedVms(now).stream().sorted().forEach(body.putArray("setApart")::add);
		this.unreachable.toJavaList().stream().sorted().forEach(body.putArray("unreachable")::add);
		return body;
	}

	/**
	 * Returns the phase of a job in one word, or nothing if this holder does not know the
	 * job.
	 */
	public Option<String> phaseOf(String jobId) {
		return this.jobs.get(jobId).map((job) -> switch (job.phase()) {
			case GangPhase.Queued _ -> "queued";
			case GangPhase.Reclaiming _ -> "reclaiming";
			case GangPhase.Reserving _, GangPhase.Recording _ -> "reserving";
			case GangPhase.Starting _ -> "starting";
			case GangPhase.Running _ -> "running";
			case GangPhase.Ending _ -> "ending";
			case GangPhase.Closing _ -> "closing";
		});
	}

	/**
	 * Returns where the members of a job run or are going to run, as
	 * {@code vm:first-last} for each member, where first and last are the indexes of its
	 * accelerators. Empty if the job has no placement or is not known.
	 */
	public List<String> placementOf(String jobId) {
		return this.jobs.get(jobId)
			.filter((job) -> job.phase() instanceof GangPhase.Allocated)
			.map((job) -> ((GangPhase.Allocated) job.phase()).placement().allocations())
			.map((allocations) -> allocations.stream().map(this::formatAllocation).toList())
			.getOrElse(List.of());
	}

	private String formatAllocation(Allocation allocation) {
		int last = allocation.first() + Math.max(1, allocation.accelerators()) - 1;
		return this.fleet.vm(allocation.vm()).vm().id() + ":" + allocation.first() + "-" + last;
	}

	/**
	 * Capacity reserved for the queued job that is next in order. Other jobs use it only
	 * if they can be reclaimed.
	 *
	 * @param job the id of the job
	 * @param allocations the reserved capacity, one allocation for each member
	 */
	public record BackfillReservation(String job, List<Allocation> allocations) {

		public BackfillReservation {
			allocations = List.copyOf(allocations);
		}

	}

}
