package org.citronrelay.internal.peer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Splits the byte stream of a connection into frames: the payload's length in four bytes,
 * then the payload. Closes a connection whose frame has an invalid length.
 */
final class FrameFilter extends BaseFilter {

	/** Enough for one value of the key-value service and the fields around it. */
	static final int MAX_PAYLOAD_BYTES = 17 * 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	@Override
	public NextAction handleRead(FilterChainContext context) {
		Buffer buffer = context.getMessage();
		if (buffer.remaining() < LENGTH_BYTES) {
			return context.getStopAction(buffer);
		}
		int length = buffer.getInt(buffer.position());
		if (length < 0 || length > MAX_PAYLOAD_BYTES) {
			context.getConnection().closeSilently();
			return context.getStopAction();
		}
		int frameBytes = LENGTH_BYTES + length;
		if (buffer.remaining() < frameBytes) {
			return context.getStopAction(buffer);
		}
		Buffer rest = (buffer.remaining() > frameBytes) ? buffer.split(buffer.position() + frameBytes) : null;
		byte[] payload = new byte[length];
		buffer.position(buffer.position() + LENGTH_BYTES);
		buffer.get(payload);
		buffer.tryDispose();
		context.setMessage(payload);
		return context.getInvokeAction(rest);
	}

	@Override
	public NextAction handleWrite(FilterChainContext context) {
		byte[] payload = context.getMessage();
		Buffer buffer = context.getMemoryManager().allocate(LENGTH_BYTES + payload.length);
		buffer.putInt(payload.length);
		buffer.put(payload);
		buffer.flip();
		buffer.allowBufferDispose(true);
		context.setMessage(buffer);
		return context.getInvokeAction();
	}

}
