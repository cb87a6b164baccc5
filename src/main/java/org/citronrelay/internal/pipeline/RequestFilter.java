package org.citronrelay.internal.pipeline;

import java.util.List;
import java.util.function.Function;

import org.citronrelay.Outcome;

/**
 * One stage of the path of a request.
 */
@FunctionalInterface
public interface RequestFilter {

	/**
	 * Gives the outcome, by itself or from the next stage.
	 */
	Outcome apply(RequestContext request, Function<RequestContext, Outcome> next);

	/**
	 * A chain of filters with a last stage.
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
