package org.citronrelay.internal.api;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.JobKind;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.JobSpec;
import org.citronrelay.Reclaim;
import org.citronrelay.Shape;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.gang.JobRecord;
import org.citronrelay.internal.gang.JobRecord.Owner;
import org.citronrelay.internal.gang.JobRecord.StoredState;
import org.citronrelay.internal.holder.JobStore;
import org.citronrelay.internal.placement.Feasibility;
import org.citronrelay.internal.placement.GuaranteePlanner;
import org.citronrelay.internal.placement.PlacementRequest;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.Vm;

/**
 * Stores, finds and cancels gang jobs by means of their records in the key-value service.
 */
public final class JobService {

	private static final int CANCEL_ATTEMPTS = 4;

	private final JobStore store;

	private final Function<String, Integer> queuedAccelerators;

	private final String ownDomain;

	/**
	 * Creates the service.
	 * @param queuedAccelerators returns the number of accelerators that the queued jobs
	 * of a failure domain need, as far as this process knows
	 * @param ownDomain the failure domain of this process
	 */
	public JobService(JobStore store, Function<String, Integer> queuedAccelerators, String ownDomain) {
		this.store = store;
		this.queuedAccelerators = queuedAccelerators;
		this.ownDomain = ownDomain;
	}

	/**
	 * Chooses the failure domain for a job. Only domains whose VMs can hold the job
	 * qualify. Preferred are, in this order, domains where its team has a guarantee of at
	 * least its size, the domain whose queued jobs need the fewest accelerators, the
	 * domain of this process, and the first by name.
	 * @return the failure domain, or none if no domain can ever hold the job
	 */
	Option<String> chooseDomain(JobSpec spec, Team team, Catalogue catalogue, List<Vm> vms) {
		JobKind kind = catalogue.jobKind(spec.kind()).get();
		PlacementRequest request = new PlacementRequest("new", team.id(), spec.shape(), kind.reclaim() != Reclaim.NEVER,
				false);
		return Option.ofOptional(vms.stream()
			.map(Vm::failureDomain)
			.distinct()
			.filter((domain) -> Feasibility.everFits(inDomain(vms, domain),
					GuaranteePlanner.guaranteedShapes(catalogue, domain), request))
			.min(Comparator.comparing((String domain) -> !hasGuarantee(team, domain, spec.shape()))
				.thenComparing((domain) -> this.queuedAccelerators.apply(domain))
				.thenComparing((domain) -> !domain.equals(this.ownDomain))
				.thenComparing(Comparator.naturalOrder())));
	}

	/**
	 * Records the failure domain chosen for an idempotency key, unless an earlier
	 * submission under that key has recorded one.
	 * @return the recorded failure domain
	 */
	Either<KvFailure, String> recordDomain(Team team, String key, String chosen) {
		return this.store.putIfAbsent(CatalogueVersion.sha256(team.id() + "/" + key), chosen);
	}

	/**
	 * Creates the initial record of a job.
	 */
	static JobRecord record(String id, JobSpec spec, Team team, JobKind kind, Catalogue catalogue, long wallMs) {
		ServiceClass serviceClass = catalogue.serviceClass(kind.serviceClass())
			.getOrElseThrow(() -> new IllegalStateException(
					"a validated catalogue contains the service class of each job kind"));
		Owner owner = new Owner(team.name(), team.id(), serviceClass.name(), serviceClass.priority(),
				serviceClass.urgent(), kind.idempotent(), kind.reclaim(), kind.limits().attempts());
		return JobRecord.accepted(id, owner, spec, wallMs);
	}

	/**
	 * Stores the record of a new job.
	 */
	StoreResult accept(JobRecord record) {
		return this.store.create(domainOf(record.id()), record);
	}

	/**
	 * Reads the record of a job.
	 * @return the record, or none if there is no such job
	 */
	Either<KvFailure, Option<RecordSeen>> find(String jobId) {
		return this.store.read(domainOf(jobId), jobId);
	}

	/**
	 * Reads the records of all jobs of a failure domain.
	 */
	Either<KvFailure, JobStore.Listing> list(String domain) {
		return this.store.list(domain);
	}

	/**
	 * Requests that a job be cancelled. The job is cancelled once its holder has
	 * confirmed the request; after that it is never started. Has no effect on a job that
	 * has ended or that is being cancelled already.
	 * @return the stored record, or the reason why the request could not be stored
	 */
	Either<String, RecordSeen> cancel(RecordSeen seen) {
		RecordSeen current = seen;
		for (int attempt = 0; attempt < CANCEL_ATTEMPTS; attempt++) {
			JobRecord record = current.record();
			if (record.state().terminal() || record.state() == StoredState.CANCELLING) {
				return Either.right(current);
			}
			JobRecord next = record.withState(StoredState.CANCELLING, "the caller requested the cancellation");
			switch (this.store.replace(domainOf(record.id()), next, current.revision())) {
				case StoreResult.Done done -> {
					return Either.right(new RecordSeen(next, done.revision()));
				}
				case StoreResult.Unavailable unavailable -> {
					return Either.left(unavailable.reason());
				}
				case StoreResult.Conflict conflict -> {
					if (conflict.current().isEmpty()) {
						return Either.left("the record of the job was deleted");
					}
					current = new RecordSeen(conflict.current().get(), conflict.revision());
				}
			}
		}
		return Either.left("the record of the job was changed during each attempt");
	}

	/**
	 * Returns the failure domain that a job id begins with, or an empty text if the id
	 * names none.
	 */
	public static String domainOf(String jobId) {
		int end = jobId.lastIndexOf("--");
		return (end < 0) ? "" : jobId.substring(0, end);
	}

	private static List<Vm> inDomain(List<Vm> vms, String domain) {
		return vms.stream().filter((vm) -> vm.failureDomain().equals(domain)).toList();
	}

	private static boolean hasGuarantee(Team team, String domain, Shape shape) {
		return team.guarantees()
			.stream()
			.anyMatch((guarantee) -> guarantee.failureDomain().equals(domain)
					&& guarantee.shape().totalAccelerators() >= shape.totalAccelerators());
	}

}
