package org.citronrelay.internal.api;

import java.util.List;
import java.util.UUID;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.citronrelay.Catalogue;
import org.citronrelay.CatalogueEntry.JobKind;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.Findings;
import org.citronrelay.JobSpec;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.catalogue.ShapeJson;
import org.citronrelay.internal.gang.DomainEvent.RecordSeen;
import org.citronrelay.internal.gang.DomainEvent.StoreResult;
import org.citronrelay.internal.gang.JobRecord;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.http.Problem;
import org.citronrelay.internal.json.FindingCollector;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.json.JsonCursor;
import org.citronrelay.internal.platform.KvFailure;
import org.citronrelay.internal.platform.Vm;

/**
 * HTTP interface for callers to submit, look up, list and cancel gang jobs.
 */
public final class JobApi {

	private static final int MAX_PAYLOAD_CHARS = 65_536;

	/** Number of hexadecimal digits of the digest in a job id. */
	private static final int ID_DIGEST_CHARS = 20;

	private final JobService jobs;

	private final Supplier<List<Vm>> vms;

	private final HolderLink holders;

	JobApi(JobService jobs, Supplier<List<Vm>> vms, HolderLink holders) {
		this.jobs = jobs;
		this.vms = vms;
		this.holders = holders;
	}

	HttpReply submit(HttpCall call, Team team, Catalogue catalogue, long wallMs) {
		Either<Findings, JobSpec> spec = Json.parse(call.body()).flatMap((node) -> {
			FindingCollector collector = new FindingCollector();
			JobSpec read = read(JsonCursor.root(node, collector), catalogue);
			return collector.toEither(read);
		});
		if (spec.isLeft()) {
			return Problem.findings("job", spec.getLeft()).with("accepted", "no").reply();
		}
		Option<String> chosen = this.jobs.chooseDomain(spec.get(), team, catalogue, this.vms.get());
		if (chosen.isEmpty()) {
			Findings unsatisfiable = Findings.of("/shape", spec.get().shape().toString(),
					"a shape that fits the VMs of one failure domain alongside the guarantees of other teams");
			return Problem.findings("job", unsatisfiable).with("accepted", "no").reply();
		}
		Option<String> key = call.header("Idempotency-Key");
		Either<KvFailure, String> domain = key.isEmpty() ? Either.right(chosen.get())
				: this.jobs.recordDomain(team, key.get(), chosen.get());
		if (domain.isLeft()) {
			return notAccepted(domain.getLeft().message());
		}
		String unique = team.id() + "/" + key.getOrElse(() -> UUID.randomUUID().toString());
		String id = domain.get() + "--" + CatalogueVersion.sha256(unique).substring(0, ID_DIGEST_CHARS);
		JobKind kind = catalogue.jobKind(spec.get().kind()).get();
		JobRecord record = JobService.record(id, spec.get(), team, kind, catalogue, wallMs);
		return submitted(record, this.jobs.accept(record));
	}

	HttpReply status(String jobId, Caller caller) {
		Either<KvFailure, Option<RecordSeen>> found = this.jobs.find(jobId);
		if (found.isLeft()) {
			return this.holders.job(jobId)
				.filter((live) -> mayAccess(caller, live.path("teamId").asText()))
				.map((live) -> HttpReply.json(200, live))
				.getOrElse(JobApi::storeUnavailable);
		}
		return found.get()
			.filter((seen) -> mayAccess(caller, seen.record().owner().teamId()))
			.map((seen) -> HttpReply.json(200, view(seen.record())))
			.getOrElse(() -> noSuchJob(jobId));
	}

	HttpReply list(Caller caller) {
		ObjectNode body = Json.object();
		body.putArray("jobs");
		body.putArray("notReached");
		for (String domain : this.vms.get().stream().map(Vm::failureDomain).distinct().sorted().toList()) {
			this.jobs.list(domain)
				.peek((listing) -> listing.records()
					.stream()
					.filter((seen) -> mayAccess(caller, seen.record().owner().teamId()))
					.forEach((seen) -> body.withArray("jobs").add(seen.record().toJson())))
				.peekLeft((failure) -> body.withArray("notReached").add(domain));
		}
		return HttpReply.json(200, body);
	}

	HttpReply cancel(String jobId, Caller caller) {
		Either<KvFailure, Option<RecordSeen>> found = this.jobs.find(jobId);
		if (found.isLeft()) {
			return storeUnavailable();
		}
		Option<RecordSeen> seen = found.get().filter((record) -> mayAccess(caller, record.record().owner().teamId()));
		if (seen.isEmpty()) {
			return noSuchJob(jobId);
		}
		return this.jobs.cancel(seen.get()).fold((reason) -> storeUnavailable(), (stored) -> {
			this.holders.recordChanged(stored);
			return HttpReply.json(stored.record().state().terminal() ? 200 : 202, stored.record().toJson());
		});
	}

	private JobSpec read(JsonCursor cursor, Catalogue catalogue) {
		String kindName = cursor.name("kind");
		JsonCursor shape = cursor.object("shape");
		JobSpec spec = new JobSpec(kindName, ShapeJson.read(shape),
				cursor.longInteger("runMs", 1, Long.MAX_VALUE / 4, null), cursor.string("payload", "-"));
		cursor.rejectUnknownFields();
		Option<JobKind> kind = catalogue.jobKind(kindName);
		if (kind.isEmpty() && !kindName.isEmpty()) {
			cursor.collector()
				.add("/kind", kindName,
						"a kind of the catalogue, one of " + catalogue.jobKinds().stream().map(JobKind::name).toList());
		}
		kind.forEach((known) -> checkLimits(cursor, spec, known));
		return spec;
	}

	private static void checkLimits(JsonCursor cursor, JobSpec spec, JobKind kind) {
		if (spec.shape().members() > kind.limits().members()) {
			cursor.collector()
				.add("/shape/members", Integer.toString(spec.shape().members()),
						"at most " + kind.limits().members() + " members for kind " + kind.name());
		}
		if (spec.runMs() > kind.limits().runMs()) {
			cursor.collector()
				.add("/runMs", Long.toString(spec.runMs()),
						"at most " + kind.limits().runMs() + " ms for kind " + kind.name());
		}
		if (spec.payload().length() > MAX_PAYLOAD_CHARS) {
			cursor.collector()
				.add("/payload", "a text that is too long", "at most " + MAX_PAYLOAD_CHARS + " characters");
		}
	}

	private HttpReply submitted(JobRecord record, StoreResult stored) {
		return switch (stored) {
			case StoreResult.Done done -> {
				this.holders.recordChanged(new RecordSeen(record, done.revision()));
				yield HttpReply.json(201, Json.object().put("id", record.id()).put("accepted", "yes"));
			}
			case StoreResult.Conflict conflict -> resubmitted(record, conflict);
			case StoreResult.Unavailable unavailable -> notAccepted(unavailable.reason());
		};
	}

	private static HttpReply notAccepted(String reason) {
		return Problem
			.of(503, "not-accepted", "The job could not be stored: " + reason + ".",
					"Submit it again with the same Idempotency-Key; it is accepted at most once.")
			.with("accepted", "unknown")
			.reply()
			.header("Retry-After", "2");
	}

	private static HttpReply resubmitted(JobRecord record, StoreResult.Conflict conflict) {
		boolean same = conflict.current().exists((current) -> current.spec().equals(record.spec()));
		if (same) {
			return HttpReply.json(200, Json.object().put("id", record.id()).put("accepted", "yes"));
		}
		return Problem.of(422, "key-reused", "The key was used for another job.", "Use a new key for a new job.")
			.reply();
	}

	private ObjectNode view(JobRecord record) {
		ObjectNode view = record.toJson();
		this.holders.job(record.id()).forEach((live) -> {
			view.set("phase", live.path("phase"));
			view.set("placement", live.path("placement"));
		});
		return view;
	}

	private static boolean mayAccess(Caller caller, String teamId) {
		return switch (caller) {
			case Caller.Operator _ -> true;
			case Caller.TeamMember member -> member.team().id().equals(teamId);
			case Caller.Unidentified _ -> false;
		};
	}

	private static HttpReply noSuchJob(String jobId) {
		return Problem.of(404, "no-such-job", "There is no job \"" + jobId + "\" of this team.", "Check the id.")
			.reply();
	}

	private static HttpReply storeUnavailable() {
		return Problem
			.of(503, "platform", "The record of the job cannot be read or written at present.",
					"Try again in a few seconds.")
			.reply()
			.header("Retry-After", "2");
	}

	/**
	 * Access to the holders of the failure domains.
	 */
	public interface HolderLink {

		/**
		 * Returns the current state of a job at its holder, or none if the holder does
		 * not answer or does not know the job.
		 */
		Option<ObjectNode> job(String jobId);

		/**
		 * Notifies the holder of a changed record, so that it need not wait for its watch
		 * of the records.
		 */
		void recordChanged(RecordSeen record);

	}

}
