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
 * @param failureDomain the failure domain of the VM
 * @param http where callers and operators connect
 * @param peers where other entry processes connect
 * @param keyValue the key-value service
 * @param vmList the VM list
 * @param platformTimeoutMs how long a call to the platform may take, in milliseconds
 * @param workerTimeoutMs how long a task command may take, in milliseconds
 * @param operatorTokenDigests the SHA-256 digests of the operators' tokens
 * @param limits what one caller may cost
 * @param answerMemoryBytes how much memory answers kept for repeated keys may take
 * @param stopWithinMs how long a planned stop may take, in milliseconds
 * @param timings the bounds of time of the failure domain
 * @param log how logs are written
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
	 * Reads a file.
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
	 * Reads a document.
	 */
	public static Either<Findings, EntrySettings> read(byte[] document) {
		return Json.parse(document).flatMap((node) -> {
			FindingCollector collector = new FindingCollector();
			EntrySettings settings = read(JsonCursor.root(node, collector));
			return collector.outcome(settings);
		});
	}

	private static EntrySettings read(JsonCursor cursor) {
		EntrySettings settings = new EntrySettings(cursor.name("failureDomain"), AddressSettings.one(cursor, "http"),
				AddressSettings.one(cursor, "peers"), AddressSettings.one(cursor, "keyValue"),
				AddressSettings.one(cursor, "vmList"), cursor.integer("platformTimeoutMs", 10, 60_000, 1_000),
				cursor.integer("workerTimeoutMs", 10, 60_000, 1_500), digests(cursor), limits(cursor.object("limits")),
				cursor.integer("answerMemoryMb", 1, 4_096, 8) * 1024L * 1024,
				cursor.integer("stopWithinMs", 100, 600_000, 30_000), timings(cursor.object("timings")),
				LogSettings.read(cursor.object("log")));
		cursor.end();
		return settings;
	}

	private static List<String> digests(JsonCursor cursor) {
		List<String> digests = cursor.texts("operatorTokenDigests");
		for (int index = 0; index < digests.size(); index++) {
			if (!DIGEST.matcher(digests.get(index)).matches()) {
				cursor.collector()
					.add(cursor.pointer("operatorTokenDigests") + "/" + index, "another text",
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
		cursor.end();
		return limits;
	}

	private static DomainTimings timings(JsonCursor cursor) {
		DomainTimings standard = DomainTimings.DEFAULT;
		long leaseMs = cursor.longInteger("leaseMs", 1_000, 600_000, standard.leaseMs());
		long renewEveryMs = cursor.longInteger("renewEveryMs", 100, 300_000, standard.renewEveryMs());
		long lostAfterMs = cursor.longInteger("lostAfterMs", 200, 600_000, standard.lostAfterMs());
		long commandBoundMs = cursor.longInteger("commandBoundMs", 100, 60_000, standard.commandBoundMs());
		long checkpointBoundMs = cursor.longInteger("checkpointBoundMs", 10, 60_000, standard.checkpointBoundMs());
		long keepAfterMs = cursor.longInteger("keepAfterMs", 0, 3_600_000, standard.keepAfterMs());
		cursor.end();
		if (renewEveryMs * 2 > lostAfterMs || lostAfterMs + renewEveryMs > leaseMs) {
			cursor.collector()
				.add(cursor.pointer("lostAfterMs"), Long.toString(lostAfterMs),
						"at least twice renewEveryMs, and with renewEveryMs at most leaseMs");
			return standard;
		}
		return new DomainTimings(leaseMs, renewEveryMs, lostAfterMs, commandBoundMs, checkpointBoundMs, keepAfterMs);
	}

}
