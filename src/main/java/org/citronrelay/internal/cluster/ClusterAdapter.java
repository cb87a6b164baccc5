package org.citronrelay.internal.cluster;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpHandler;

/**
 * Translates between a cluster and the interfaces of the platform that it runs on. One
 * implementation for each platform.
 */
public interface ClusterAdapter {

	/**
	 * Creates the cluster's store, whose calls go through a route.
	 */
	ClusterStore store(StoreRoute route);

	/**
	 * Returns the call that reads a key of the store.
	 */
	HttpCall storeRead(String key);

	/**
	 * Creates the reader of records that other systems write into the store.
	 */
	ExternalRecordReader recordReader();

	/**
	 * Creates the client that sends commands to VMs.
	 */
	WorkerClient workerClient(HttpClient client);

	/**
	 * Creates the handler of callers' requests.
	 * @param service accepts, cancels and looks up jobs
	 * @param catalogue the catalogue in effect
	 */
	HttpHandler callers(BatchJobService service, Supplier<QueueCatalogue> catalogue);

	/**
	 * Creates the handler of the balancer's readiness checks.
	 * @param ready whether the process accepts new calls
	 */
	HttpHandler balancer(BooleanSupplier ready);

}
