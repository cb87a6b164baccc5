package org.citronrelay.internal.pipeline;

import java.util.function.Function;

import org.citronrelay.Outcome;
import org.citronrelay.internal.dispatch.BackendRequest;
import org.citronrelay.internal.dispatch.Dispatcher;

/**
 * The last stage of the pipeline: sends the request to a backend server.
 */
public final class DispatchStage implements Function<RequestContext, Outcome> {

	private final Dispatcher dispatcher;

	public DispatchStage(Dispatcher dispatcher) {
		this.dispatcher = dispatcher;
	}

	@Override
	public Outcome apply(RequestContext request) {
		BackendRequest backendRequest = new BackendRequest(request.id(), request.service().name(),
				!request.atMostOnce(), request.contentType(), request.body());
		return this.dispatcher.send(backendRequest, request.deadline());
	}

}
