package org.citronrelay.internal.cli;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

import org.citronrelay.internal.cluster.ClusterProcess;
import org.citronrelay.internal.cluster.ClusterSettings;
import org.citronrelay.internal.demo.FreeAddresses;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.logging.LogSetup;
import org.citronrelay.internal.settings.LogSettings;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.platform.PlatformAdapter;

/**
 * Starts a cluster process that has no store, sends it two calls and stops it, so that
 * the JVM loads the classes that go into the class data sharing (CDS) archive.
 */
final class WarmUp {

	private static final int MAX_ANSWER_BYTES = 1024 * 1024;

	private static final long CALL_TIMEOUT_MS = 1_000;

	private static final long RUN_TIME_MS = 500;

	int run() {
		LogSetup.logAsJson();
		List<Address> addresses = Stream.generate(FreeAddresses::next).limit(5).toList();
		ClusterSettings settings = new ClusterSettings("warm-up", "none",
				new ClusterSettings.Listen(addresses.get(0), addresses.get(1), addresses.get(2), addresses.get(3)),
				addresses.get(4), List.of(), 1, ClusterSettings.Coordination.DEFAULT, 0, 0,
				new LogSettings(LogSettings.Format.JSON, LogSettings.Level.INFO));
		ClusterProcess process = new ClusterProcess(settings, new PlatformAdapter());
		process.start();
		try (HttpClient client = new HttpClient(MAX_ANSWER_BYTES)) {
			byte[] body = "{\"spec\":\"\"}".getBytes(StandardCharsets.UTF_8);
			client.exchange(addresses.get(0), HttpCall.of("POST", "/none").body(body), CALL_TIMEOUT_MS, false);
			client.exchange(addresses.get(1), HttpCall.of("GET", "/none"), CALL_TIMEOUT_MS, false);
			Pause.millis(RUN_TIME_MS);
			process.stop();
		}
		return 0;
	}

}
