package org.citronrelay.platform;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.cluster.BatchDesk;
import org.citronrelay.internal.cluster.ClusterAdapter;
import org.citronrelay.internal.cluster.ClusterSources;
import org.citronrelay.internal.cluster.ClusterStore;
import org.citronrelay.internal.cluster.StoreRoute;
import org.citronrelay.internal.cluster.WorkerOrders;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpHandler;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;

/**
 * The parts of a cluster that speak with the users' platform.
 */
public final class PlatformAdapter implements ClusterAdapter {

	/** The environment variable that holds the path of the settings file. */
	public static final String SETTINGS_VARIABLE = "CITRONRELAY_NODE_FILE";

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	@Override
	public ClusterStore store(StoreRoute route) {
		return new PlatformStore(route);
	}

	@Override
	public ClusterSources sources() {
		return new PlatformSources();
	}

	@Override
	public WorkerOrders orders(HttpClient client) {
		return new PlatformWorkers(client);
	}

	@Override
	public HttpHandler callers(BatchDesk desk, Supplier<QueueCatalogue> catalogue) {
		return new PlatformCallers(desk, catalogue, System::currentTimeMillis);
	}

	@Override
	public HttpHandler balancer(BooleanSupplier ready) {
		return (call) -> HttpReply.json(ready.getAsBoolean() ? OK : UNAVAILABLE, Json.object());
	}

}
