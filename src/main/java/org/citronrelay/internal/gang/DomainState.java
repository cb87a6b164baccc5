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
 * All that the holder of a failure domain knows. Immutable.
 *
 * @param failureDomain the failure domain
 * @param epoch the epoch of its holder
 * @param timings its bounds of time
 * @param catalogue the catalogue in force
 * @param fleet its VMs with what is held on them
 * @param plan the blocks of its guarantees
 * @param jobs its jobs that have not ended, by id
 * @param kept the room kept for the job at the head of the queue
 * @param unreachable the VMs that did not answer last
 * @param failures the VMs that fail the tasks of many jobs
 * @param estimates how long jobs truly take
 * @param nextRenewAt when leases are renewed next, in monotonic milliseconds
 */
public record DomainState(String failureDomain, long epoch, DomainTimings timings, Catalogue catalogue, Fleet fleet,
		GuaranteePlan plan, Map<String, Job> jobs, Option<KeptRoom> kept, Set<String> unreachable, VmFailures failures,
		Estimates estimates, long nextRenewAt) {

	public DomainState {
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(timings, "timings");
		Objects.requireNonNull(catalogue, "catalogue");
		Objects.requireNonNull(fleet, "fleet");
	}

	/**
	 * A failure domain without VMs and jobs.
	 */
	public static DomainState empty(String failureDomain, long epoch, DomainTimings timings) {
		return new DomainState(failureDomain, epoch, timings, Catalogue.EMPTY, Fleet.EMPTY, GuaranteePlan.EMPTY,
				HashMap.empty(), Option.none(), HashSet.empty(), VmFailures.NONE, Estimates.NONE, Long.MIN_VALUE);
	}

	/**
	 * The number of jobs that wait for room.
	 */
	public int queued() {
		return this.jobs.count((job) -> job._2().phase() instanceof JobPhase.Queued);
	}

	/**
	 * The accelerators for which jobs wait.
	 */
	public int queuedAccelerators() {
		return this.jobs.values()
			.filter((job) -> job.phase() instanceof JobPhase.Queued)
			.map((job) -> job.record().spec().shape().totalAccelerators())
			.sum()
			.intValue();
	}

	/**
	 * What is stored of a job, if it is known here.
	 */
	public Option<JobRecord> record(String jobId) {
		return this.jobs.get(jobId).map(Job::record);
	}

	/**
	 * The domain in figures, for the reports.
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
			.put("queued", queued())
			.put("idleAccelerators", FragmentationMeter.idle(this.fleet))
			.put("unusableShare", FragmentationMeter.unusableShare(this.fleet, reference))
			.put("reference", reference.toString());
		body.putArray("shortfalls");
		for (Shortfall shortfall : this.plan.shortfalls()) {
			body.withArray("shortfalls").add(shortfall.wanted().id() + ": " + shortfall.reason());
		}
		this.failures.allApart(now).stream().sorted().forEach(body.putArray("setApart")::add);
		this.unreachable.toJavaList().stream().sorted().forEach(body.putArray("unreachable")::add);
		return body;
	}

	/**
	 * The phase of a job in one word, if it is known here.
	 */
	public Option<String> phaseOf(String jobId) {
		return this.jobs.get(jobId).map((job) -> switch (job.phase()) {
			case JobPhase.Queued _ -> "queued";
			case JobPhase.Reclaiming _ -> "reclaiming";
			case JobPhase.Reserving _, JobPhase.Recording _ -> "reserving";
			case JobPhase.Starting _ -> "starting";
			case JobPhase.Running _ -> "running";
			case JobPhase.Ending _ -> "ending";
			case JobPhase.Closing _ -> "closing";
		});
	}

	/**
	 * Where a job is or is going to be, as {@code vm:first-last} for each member.
	 */
	public List<String> placementOf(String jobId) {
		return this.jobs.get(jobId)
			.filter((job) -> job.phase() instanceof JobPhase.Holding)
			.map((job) -> ((JobPhase.Holding) job.phase()).choice().allocations())
			.map((allocations) -> allocations.stream().map(this::place).toList())
			.getOrElse(List.of());
	}

	private String place(Allocation allocation) {
		int last = allocation.first() + Math.max(1, allocation.accelerators()) - 1;
		return this.fleet.vm(allocation.vm()).vm().id() + ":" + allocation.first() + "-" + last;
	}

	/**
	 * Room kept for a waiting job.
	 *
	 * @param job the id of the job
	 * @param allocations the room
	 */
	public record KeptRoom(String job, List<Allocation> allocations) {

		public KeptRoom {
			allocations = List.copyOf(allocations);
		}

	}

}
