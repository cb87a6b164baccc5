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
import org.citronrelay.internal.placement.Ask;
import org.citronrelay.internal.placement.Feasibility;
import org.citronrelay.internal.placement.GuaranteePlanner;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.Vm;

/**
 * Accepts, finds and cancels jobs by their stored records.
 */
public final class JobDesk {

	private static final int CANCEL_ATTEMPTS = 4;

	private final JobStore store;

	private final Function<String, Integer> loadOf;

	private final String ownDomain;

	/**
	 * Creates the desk.
	 * @param loadOf the accelerators that jobs wait for in a failure domain, as far as
	 * known
	 */
	public JobDesk(JobStore store, Function<String, Integer> loadOf, String ownDomain) {
		this.store = store;
		this.loadOf = loadOf;
		this.ownDomain = ownDomain;
	}

	/**
	 * The failure domain for a job: one where it can run at all, where its team has a
	 * guarantee if there is one, then the own one, then the one with the least load.
	 */
	Option<String> homeFor(JobSpec spec, Team team, Catalogue catalogue, List<Vm> vms) {
		JobKind kind = catalogue.jobKind(spec.kind()).get();
		Ask ask = new Ask("new", team.id(), spec.shape(), kind.reclaim() != Reclaim.NEVER, false);
		return Option.ofOptional(vms.stream()
			.map(Vm::failureDomain)
			.distinct()
			.filter((domain) -> Feasibility.everFits(inDomain(vms, domain), GuaranteePlanner.wanted(catalogue, domain),
					ask))
			.min(Comparator.comparing((String domain) -> !guaranteed(team, domain, spec.shape()))
				.thenComparing((domain) -> this.loadOf.apply(domain))
				.thenComparing((domain) -> !domain.equals(this.ownDomain))
				.thenComparing(Comparator.naturalOrder())));
	}

	/**
	 * The failure domain that the first submission under a key chose, this one or an
	 * earlier one.
	 */
	Either<KvFailure, String> pinnedHome(Team team, String key, String wanted) {
		return this.store.pin(CatalogueVersion.sha256(team.id() + "/" + key), wanted);
	}

	/**
	 * The first record of a job.
	 */
	static JobRecord record(String id, JobSpec spec, Team team, JobKind kind, Catalogue catalogue, long wallMs) {
		ServiceClass serviceClass = catalogue.serviceClass(kind.serviceClass())
			.getOrElseThrow(() -> new IllegalStateException("a checked catalogue names only known classes"));
		Owner owner = new Owner(team.name(), team.id(), serviceClass.name(), serviceClass.priority(),
				serviceClass.urgent(), kind.idempotent(), kind.reclaim(), kind.limits().attempts());
		return JobRecord.accepted(id, owner, spec, wallMs);
	}

	/**
	 * Stores a new job.
	 */
	StoreResult accept(JobRecord record) {
		return this.store.create(domainOf(record.id()), record);
	}

	/**
	 * Finds a job by its id, which begins with its failure domain.
	 */
	Either<KvFailure, Option<RecordSeen>> find(String jobId) {
		return this.store.read(domainOf(jobId), jobId);
	}

	/**
	 * The records of one failure domain.
	 */
	Either<KvFailure, JobStore.Listing> list(String domain) {
		return this.store.list(domain);
	}

	/**
	 * Asks for a job to be cancelled. It is cancelled once its holder has confirmed that;
	 * from then on it never starts.
	 * @return the stored record, or what was seen instead
	 */
	Either<String, RecordSeen> cancel(RecordSeen seen) {
		RecordSeen current = seen;
		for (int attempt = 0; attempt < CANCEL_ATTEMPTS; attempt++) {
			JobRecord record = current.record();
			if (record.state().terminal() || record.state() == StoredState.CANCELLING) {
				return Either.right(current);
			}
			JobRecord next = record.ended(StoredState.CANCELLING, "its caller wants it cancelled");
			switch (this.store.replace(domainOf(record.id()), next, current.revision())) {
				case StoreResult.Done done -> {
					return Either.right(new RecordSeen(next, done.revision()));
				}
				case StoreResult.Unavailable unavailable -> {
					return Either.left(unavailable.reason());
				}
				case StoreResult.Conflict conflict -> {
					if (conflict.current().isEmpty()) {
						return Either.left("the record is gone");
					}
					current = new RecordSeen(conflict.current().get(), conflict.revision());
				}
			}
		}
		return Either.left("the record changes too fast");
	}

	/**
	 * The failure domain of a job, told by its id.
	 */
	public static String domainOf(String jobId) {
		int end = jobId.lastIndexOf("--");
		return (end < 0) ? "" : jobId.substring(0, end);
	}

	private static List<Vm> inDomain(List<Vm> vms, String domain) {
		return vms.stream().filter((vm) -> vm.failureDomain().equals(domain)).toList();
	}

	private static boolean guaranteed(Team team, String domain, Shape shape) {
		return team.guarantees()
			.stream()
			.anyMatch((guarantee) -> guarantee.failureDomain().equals(domain)
					&& guarantee.shape().totalAccelerators() >= shape.totalAccelerators());
	}

}
