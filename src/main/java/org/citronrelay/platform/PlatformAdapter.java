package org.citronrelay.platform;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.cluster.BatchJobService;
import org.citronrelay.internal.cluster.ClusterAdapter;
import org.citronrelay.internal.cluster.ClusterStore;
import org.citronrelay.internal.cluster.ExternalRecordReader;
import org.citronrelay.internal.cluster.StoreRoute;
import org.citronrelay.internal.cluster.WorkerClient;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpHandler;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;

/**
 * Connects a cluster to the users' platform: its metadata store, its records, its
 * workers, its requesters and its load balancer.
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
	public HttpCall storeRead(String key) {
		return PlatformStore.readOf(key);
	}

	@Override
	public ExternalRecordReader recordReader() {
		return new PlatformRecordReader();
	}

	@Override
	public WorkerClient workerClient(HttpClient client) {
		return new PlatformWorkerClient(client);
	}

	@Override
	public HttpHandler callers(BatchJobService jobs, Supplier<QueueCatalogue> catalogue) {
		return new PlatformJobApi(jobs, catalogue, System::currentTimeMillis);
	}

	@Override
	public HttpHandler balancer(BooleanSupplier ready) {
		return (call) -> HttpReply.json(ready.getAsBoolean() ? OK : UNAVAILABLE, Json.object());
	}

}
