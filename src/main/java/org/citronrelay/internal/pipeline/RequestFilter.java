package org.citronrelay.internal.pipeline;

import java.util.List;
import java.util.function.Function;

import org.citronrelay.Outcome;

/**
 * A filter of the request pipeline.
 */
@FunctionalInterface
public interface RequestFilter {

	/**
	 * Returns the outcome of the request, either decided by this filter or returned by
	 * the next stage.
	 * @param request the request
	 * @param next the rest of the pipeline; called at most once
	 */
	Outcome apply(RequestContext request, Function<RequestContext, Outcome> next);

	/**
	 * Returns a pipeline that calls the filters in their order, and then the last stage.
	 */
	static Function<RequestContext, Outcome> chain(List<RequestFilter> filters,
			Function<RequestContext, Outcome> last) {
		Function<RequestContext, Outcome> chain = last;
		for (RequestFilter filter : filters.reversed()) {
			Function<RequestContext, Outcome> next = chain;
			chain = (request) -> filter.apply(request, next);
		}
		return chain;
	}

}
