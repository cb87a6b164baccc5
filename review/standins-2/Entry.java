package org.citronrelay.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.demo.FreeAddresses;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.json.Json;

/**
 * An entry process of the deployment, started with the command of the deploy file and the
 * settings template, with the bounds of the site kmh-wheelswap.
 */
final class Entry {

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-zA-Z_.0-9]+)(\\|json)?}}");

	final String name;

	final Address callers = FreeAddresses.next();

	final Address balancer = FreeAddresses.next();

	final Address peers = FreeAddresses.next();

	private final Address metrics = FreeAddresses.next();

	private final Path folder;

	private Process process;

	Entry(String name, Path folder) {
		this.name = name;
		this.folder = folder;
	}

	void start(String zone, Address store, List<Address> seeds) throws IOException {
		Map<String, String> values = Map.ofEntries(Map.entry("nodeName", quoted(this.name)),
				Map.entry("zone", quoted(zone)), Map.entry("listen.front", quoted(this.callers)),
				Map.entry("listen.ready", quoted(this.balancer)), Map.entry("listen.control", quoted(this.peers)),
				Map.entry("ip", this.metrics.host()), Map.entry("portRange.0", Integer.toString(this.metrics.port())),
				Map.entry("platform.address", quoted(store)),
				Map.entry("seeds", seeds.stream().map(Entry::quoted).toList().toString()),
				Map.entry("limits.cores", "1"), Map.entry("limits.cpuShare", "0.75"),
				Map.entry("bounds.holdMaxMs", Long.toString(Bounds.HOLD_MAX_MS)),
				Map.entry("bounds.gangTimeoutMs", "3000"),
				Map.entry("bounds.killGraceMs", Long.toString(Bounds.KILL_GRACE_MS)), Map.entry("bounds.graceS", "6"),
				Map.entry("bounds.status_s", "120"));
		Path settings = this.folder.resolve(this.name + ".json");
		Matcher placeholders = PLACEHOLDER.matcher(Files.readString(Path.of("deploy/settings.json")));
		Files.writeString(settings,
				placeholders.replaceAll((found) -> Matcher.quoteReplacement(values.get(found.group(1)))));
		ProcessBuilder builder = new ProcessBuilder(command());
		builder.environment().put("CITRONRELAY_NODE_FILE", settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(this.folder.resolve(this.name + ".out").toFile());
		this.process = builder.start();
	}

	boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	void kill() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

	/**
	 * Returns the lines of the log that contain a text.
	 */
	List<String> log(String text) {
		try (var lines = Files.lines(this.folder.resolve(this.name + ".out"))) {
			return lines.filter((line) -> line.contains(text)).toList();
		}
		catch (IOException | UncheckedIOException ex) {
			return List.of();
		}
	}

	/**
	 * Sends a call of a requester, and returns the answer, empty if there is none.
	 */
	Optional<Reply> call(HttpClient client, String method, String path, String key, ObjectNode body) {
		HttpCall call = HttpCall.of(method, path)
			.header("Authorization", "Token " + key)
			.header("X-Deadline-Ms", "3000");
		if (body != null) {
			call = call.header("Content-Type", "application/json").body(Json.bytes(body));
		}
		return (client.exchange(this.callers, call, 3_000, true) instanceof Exchange.Answered answered)
				? Optional.of(new Reply(answered.reply().status(), new String(answered.reply().body())))
				: Optional.empty();
	}

	boolean isReady(HttpClient client) {
		return client.exchange(this.balancer, HttpCall.of("GET", "/citronrelay/ready"), 1_000,
				true) instanceof Exchange.Answered answered && answered.reply().status() == 200;
	}

	private static List<String> command() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				return new ArrayList<>(List.of(line.substring(7, line.length() - 1).split(" ")));
			}
		}
		throw new IOException("the deploy file has no line run");
	}

	private static String quoted(Object value) {
		return '"' + value.toString() + '"';
	}

	/**
	 * An answer to a call.
	 */
	record Reply(int status, String body) {
	}

}
