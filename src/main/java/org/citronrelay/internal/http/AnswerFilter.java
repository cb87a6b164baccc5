package org.citronrelay.internal.http;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Hands the parts of an answer to the call that waits on the connection.
 */
final class AnswerFilter extends BaseFilter {

	private final int largestBytes;

	AnswerFilter(int largestBytes) {
		this.largestBytes = largestBytes;
	}

	@Override
	public NextAction handleRead(FilterChainContext context) {
		PendingAnswer pending = PendingAnswer.of(context.getConnection());
		if (pending != null) {
			pending.take(context.getMessage(), this.largestBytes);
		}
		((HttpContent) context.getMessage()).recycle();
		return context.getStopAction();
	}

	@Override
	public NextAction handleClose(FilterChainContext context) {
		PendingAnswer pending = PendingAnswer.of(context.getConnection());
		if (pending != null) {
			pending.fail("the connection was closed before the whole answer");
		}
		return context.getInvokeAction();
	}

}
