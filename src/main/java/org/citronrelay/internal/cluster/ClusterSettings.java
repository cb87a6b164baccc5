package org.citronrelay.internal.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import org.citronrelay.Findings;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.FindingCollector;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.json.JsonCursor;
import org.citronrelay.internal.schedule.ScheduleTimings;
import org.citronrelay.internal.settings.AddressReader;
import org.citronrelay.internal.settings.LogSettings;

/**
 * The settings of one process of a cluster.
 *
 * @param process the name of this process, unique in the cluster
 * @param failureDomain the failure domain of this process
 * @param listen the addresses on which it listens
 * @param store the address of the store
 * @param seeds addresses of peers, used until registered peers are read from the store
 * @param cores the processor time of the process, in cores; processes with more cores are
 * preferred as coordinator
 * @param coordination the time limits of the coordinator
 * @param stopWithinMs the time limit of a graceful stop, in milliseconds
 * @param keepEndedMs how long the records of ended jobs are kept, in milliseconds
 * @param log the format and level of logs
 */
public record ClusterSettings(String process, String failureDomain, Listen listen, Address store, List<Address> seeds,
		double cores, Coordination coordination, long stopWithinMs, long keepEndedMs, LogSettings log) {

	private static final double MILLIS = 1_000;

	public ClusterSettings {
		Objects.requireNonNull(process, "process");
		seeds = List.copyOf(seeds);
	}

	/**
	 * Reads the settings from a JSON file.
	 * @return the settings, or all findings with their places
	 */
	public static Either<Findings, ClusterSettings> read(Path file) {
		try {
			return Json.parse(Files.readAllBytes(file)).flatMap((node) -> {
				FindingCollector collector = new FindingCollector();
				ClusterSettings settings = read(JsonCursor.root(node, collector));
				return collector.toEither(settings);
			});
		}
		catch (IOException ex) {
			return Either.left(Findings.of("", file.toString(), "a readable file: " + ex.getMessage()));
		}
	}

	private static ClusterSettings read(JsonCursor cursor) {
		JsonCursor listen = cursor.object("listen");
		Listen addresses = new Listen(AddressReader.read(listen, "callers"), AddressReader.read(listen, "balancer"),
				AddressReader.read(listen, "peers"), AddressReader.read(listen, "metrics"));
		listen.rejectUnknownFields();
		List<Address> seeds = AddressReader.readList(cursor, "seeds");
		ClusterSettings settings = new ClusterSettings(cursor.string("process"), cursor.string("failureDomain"),
				addresses, AddressReader.read(cursor, "store"), seeds, cores(cursor.object("machine")),
				coordination(cursor.object("coordination")), seconds(cursor, "stopWithinSeconds", 5),
				seconds(cursor, "keepEndedSeconds", 120), LogSettings.read(cursor.object("log")));
		cursor.rejectUnknownFields();
		return settings;
	}

	private static Coordination coordination(JsonCursor cursor) {
		Coordination defaults = Coordination.DEFAULT;
		long longest = cursor.longInteger("longestLeaseMs", 1_000, 600_000, defaults.longestLeaseMs());
		Coordination coordination = new Coordination(cursor.longInteger("termMs", 500, 60_000, defaults.termMs()),
				Math.min(longest, cursor.longInteger("leaseMs", 1_000, 600_000, longest)), longest,
				cursor.longInteger("renewWaitMs", 0, 2_000, defaults.renewWaitMs()),
				cursor.longInteger("retryMs", 50, 10_000, defaults.retryMs()),
				cursor.longInteger("stallMs", 500, 600_000, defaults.stallMs()),
				cursor.longInteger("gangWaitMs", 100, 600_000, defaults.gangWaitMs()),
				cursor.longInteger("stopGraceMs", 0, 60_000, defaults.stopGraceMs()),
				cursor.longInteger("benchMs", 100, 600_000, defaults.quarantineMs()));
		cursor.rejectUnknownFields();
		return coordination;
	}

	private static double cores(JsonCursor cursor) {
		double cores = cursor.number("cores", 0, 1_024, 1) * cursor.number("share", 0, 1, 1);
		cursor.rejectUnknownFields();
		return cores;
	}

	private static long seconds(JsonCursor cursor, String field, double fallback) {
		return (long) (MILLIS * cursor.number(field, 0, 86_400, fallback));
	}

	/**
	 * The addresses on which a process listens.
	 *
	 * @param callers for callers
	 * @param balancer for the balancer's readiness checks
	 * @param peers for other processes of the cluster
	 * @param metrics for scraping metrics
	 */
	public record Listen(Address callers, Address balancer, Address peers, Address metrics) {
	}

	/**
	 * The time limits of the coordinator, in milliseconds.
	 *
	 * @param termMs how long the coordinator's own lease lasts without renewal
	 * @param leaseMs how long VMs run tasks without hearing from the coordinator
	 * @param longestLeaseMs the longest lease that a VM accepts
	 * @param renewWaitMs how long a VM may delay its answer to a renewal until a run ends
	 * @param retryMs how long until an unanswered command is sent again
	 * @param stallMs how long a task may make no progress before it is moved
	 * @param gangWaitMs how long a VM lets a member of a gang wait for the other members
	 * @param stopGraceMs how long a VM may take to stop a run
	 * @param quarantineMs how long a failing VM gets no new tasks
	 */
	public record Coordination(long termMs, long leaseMs, long longestLeaseMs, long renewWaitMs, long retryMs,
			long stallMs, long gangWaitMs, long stopGraceMs, long quarantineMs) {

		/** The defaults of settings that a file leaves out. */
		public static final Coordination DEFAULT = new Coordination(2_000, 10_000, 10_000, 1_500, 400, 3_500, 3_000,
				1_000, 5_000);

		ScheduleTimings timings() {
			return new ScheduleTimings(this.leaseMs, this.longestLeaseMs, this.renewWaitMs, this.retryMs, this.stallMs,
					this.gangWaitMs, this.stopGraceMs, this.quarantineMs);
		}

	}

}
