package org.citronrelay.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;

import io.vavr.control.Either;
import org.citronrelay.Findings;
import org.citronrelay.internal.gang.DomainTimings;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.HttpLimits;
import org.citronrelay.internal.json.FindingCollector;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.json.JsonCursor;

/**
 * The settings of an entry process.
 *
 * @param failureDomain the failure domain of the VM on which the process runs
 * @param http the address on which callers and operators connect
 * @param peers the address on which other entry processes connect
 * @param keyValue the address of the key-value service
 * @param vmList the address of the service that lists the VMs
 * @param platformTimeoutMs the time-out of a call to the key-value service or the VM
 * list, in milliseconds
 * @param workerTimeoutMs the time-out of a task command to a worker, in milliseconds
 * @param operatorTokenDigests the SHA-256 digests of the operators' tokens, in lower-case
 * hex
 * @param limits the limits on the size of requests and on connections
 * @param answerMemoryBytes the maximum size of all answers retained for requests repeated
 * with the same idempotency key, in bytes
 * @param stopWithinMs the longest time that a planned stop may take, in milliseconds
 * @param timings the intervals and time limits of scheduling in the failure domain
 * @param log the format and level of the log
 */
public record EntrySettings(String failureDomain, Address http, Address peers, Address keyValue, Address vmList,
		int platformTimeoutMs, int workerTimeoutMs, List<String> operatorTokenDigests, HttpLimits limits,
		long answerMemoryBytes, int stopWithinMs, DomainTimings timings, LogSettings log) {

	private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

	public EntrySettings {
		Objects.requireNonNull(failureDomain, "failureDomain");
		operatorTokenDigests = List.copyOf(operatorTokenDigests);
	}

	/**
	 * Reads a settings file.
	 * @return the settings, or every error found; a file that cannot be read is one
	 */
	public static Either<Findings, EntrySettings> read(Path file) {
		try {
			return read(Files.readAllBytes(file));
		}
		catch (IOException ex) {
			return Either.left(Findings.of("", file.toString(), "a readable file: " + ex.getMessage()));
		}
	}

	/**
	 * Reads settings from JSON in UTF-8.
	 * @return the settings, or every error found
	 */
	public static Either<Findings, EntrySettings> read(byte[] document) {
		return Json.parse(document).flatMap((node) -> {
			FindingCollector collector = new FindingCollector();
			EntrySettings settings = read(JsonCursor.root(node, collector));
			return collector.toEither(settings);
		});
	}

	private static EntrySettings read(JsonCursor cursor) {
		EntrySettings settings = new EntrySettings(cursor.name("failureDomain"), AddressReader.read(cursor, "http"),
				AddressReader.read(cursor, "peers"), AddressReader.read(cursor, "keyValue"),
				AddressReader.read(cursor, "vmList"), cursor.integer("platformTimeoutMs", 10, 60_000, 1_000),
				cursor.integer("workerTimeoutMs", 10, 60_000, 1_500), digests(cursor), limits(cursor.object("limits")),
				cursor.integer("answerMemoryMb", 1, 4_096, 8) * 1024L * 1024,
				cursor.integer("stopWithinMs", 100, 600_000, 30_000), timings(cursor.object("timings")),
				LogSettings.read(cursor.object("log")));
		cursor.rejectUnknownFields();
		return settings;
	}

	private static List<String> digests(JsonCursor cursor) {
		List<String> digests = cursor.strings("operatorTokenDigests");
		for (int index = 0; index < digests.size(); index++) {
			if (!DIGEST.matcher(digests.get(index)).matches()) {
				cursor.collector()
					.add(cursor.pointer("operatorTokenDigests") + "/" + index, "a value of another form",
							"a SHA-256 digest in lower-case hex");
			}
		}
		return digests;
	}

	private static HttpLimits limits(JsonCursor cursor) {
		HttpLimits limits = new HttpLimits(
				cursor.integer("headerBytes", 1_024, 1024 * 1024, HttpLimits.DEFAULT.headerBytes()),
				cursor.integer("bodyBytes", 1_024, 16 * 1024 * 1024, HttpLimits.DEFAULT.bodyBytes()),
				cursor.integer("connections", 1, 100_000, HttpLimits.DEFAULT.connections()), Duration
					.ofMillis(cursor.integer("idleMs", 1_000, 600_000, (int) HttpLimits.DEFAULT.idle().toMillis())));
		cursor.rejectUnknownFields();
		return limits;
	}

	private static DomainTimings timings(JsonCursor cursor) {
		DomainTimings defaults = DomainTimings.DEFAULT;
		long leaseMs = cursor.longInteger("leaseMs", 1_000, 600_000, defaults.leaseMs());
		long renewEveryMs = cursor.longInteger("renewEveryMs", 100, 300_000, defaults.renewEveryMs());
		long lostAfterMs = cursor.longInteger("lostAfterMs", 200, 600_000, defaults.lostAfterMs());
		long commandBoundMs = cursor.longInteger("commandBoundMs", 100, 60_000, defaults.commandBoundMs());
		long checkpointBoundMs = cursor.longInteger("checkpointBoundMs", 10, 60_000, defaults.checkpointBoundMs());
		long keepAfterMs = cursor.longInteger("keepAfterMs", 0, 3_600_000, defaults.keepAfterMs());
		cursor.rejectUnknownFields();
		if (renewEveryMs * 2 > lostAfterMs || lostAfterMs + renewEveryMs > leaseMs) {
			cursor.collector()
				.add(cursor.pointer("lostAfterMs"), Long.toString(lostAfterMs),
						"at least 2 * renewEveryMs and at most leaseMs - renewEveryMs");
			return defaults;
		}
		return new DomainTimings(leaseMs, renewEveryMs, lostAfterMs, commandBoundMs, checkpointBoundMs, keepAfterMs);
	}

}
