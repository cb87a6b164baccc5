package org.citronrelay.internal.http;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Passes the parts of an answer to the call that waits for it on the connection.
 */
final class AnswerFilter extends BaseFilter {

	private final int maxBytes;

	AnswerFilter(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	@Override
	public NextAction handleRead(FilterChainContext context) {
		PendingAnswer pending = PendingAnswer.of(context.getConnection());
		if (pending != null) {
			pending.append(context.getMessage(), this.maxBytes);
		}
		((HttpContent) context.getMessage()).recycle();
		return context.getStopAction();
	}

	@Override
	public NextAction handleClose(FilterChainContext context) {
		PendingAnswer pending = PendingAnswer.of(context.getConnection());
		if (pending != null) {
			pending.fail("the connection was closed before the answer was complete");
		}
		return context.getInvokeAction();
	}

}
