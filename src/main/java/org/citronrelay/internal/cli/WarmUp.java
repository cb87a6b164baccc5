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
 * Runs a process of a cluster for a moment, without a store, so that the classes it uses
 * are loaded.
 */
final class WarmUp {

	private static final int LARGEST_ANSWER_BYTES = 1024 * 1024;

	private static final long CALL_MS = 1_000;

	private static final long SETTLE_MS = 500;

	int run() {
		LogSetup.json();
		List<Address> free = Stream.generate(FreeAddresses::next).limit(5).toList();
		ClusterSettings settings = new ClusterSettings("warm-up", "none",
				new ClusterSettings.Listen(free.get(0), free.get(1), free.get(2), free.get(3)), free.get(4), List.of(),
				1, ClusterSettings.Coordination.DEFAULT, 0, 0,
				new LogSettings(LogSettings.Format.JSON, LogSettings.Level.INFO));
		ClusterProcess process = new ClusterProcess(settings, new PlatformAdapter());
		process.start();
		try (HttpClient client = new HttpClient(LARGEST_ANSWER_BYTES)) {
			byte[] body = "{\"spec\":\"\"}".getBytes(StandardCharsets.UTF_8);
			client.exchange(free.get(0), HttpCall.of("POST", "/none").body(body), CALL_MS, false);
			client.exchange(free.get(1), HttpCall.of("GET", "/none"), CALL_MS, false);
			Pause.millis(SETTLE_MS);
			process.stop();
		}
		return 0;
	}

}
