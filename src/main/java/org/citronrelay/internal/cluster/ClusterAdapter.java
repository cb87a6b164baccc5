package org.citronrelay.internal.cluster;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpHandler;

/**
 * How a cluster speaks with what surrounds it. One implementation for each platform.
 */
public interface ClusterAdapter {

	/**
	 * The store, reached by a route.
	 */
	ClusterStore store(StoreRoute route);

	/**
	 * How the records of others are read.
	 */
	ClusterSources sources();

	/**
	 * The way to the VMs.
	 */
	WorkerOrders orders(HttpClient client);

	/**
	 * Answers callers.
	 */
	HttpHandler callers(BatchDesk desk, Supplier<QueueCatalogue> catalogue);

	/**
	 * Answers the balancer.
	 */
	HttpHandler balancer(BooleanSupplier ready);

}
