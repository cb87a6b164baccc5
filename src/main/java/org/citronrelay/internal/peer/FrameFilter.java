package org.citronrelay.internal.peer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Splits the stream of a link into frames: four bytes of length, then the payload.
 */
final class FrameFilter extends BaseFilter {

	/** The largest payload: one value of the key-value service and some room. */
	static final int LARGEST_PAYLOAD_BYTES = 17 * 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	@Override
	public NextAction handleRead(FilterChainContext context) {
		Buffer buffer = context.getMessage();
		if (buffer.remaining() < LENGTH_BYTES) {
			return context.getStopAction(buffer);
		}
		int length = buffer.getInt(buffer.position());
		if (length < 0 || length > LARGEST_PAYLOAD_BYTES) {
			context.getConnection().closeSilently();
			return context.getStopAction();
		}
		int frame = LENGTH_BYTES + length;
		if (buffer.remaining() < frame) {
			return context.getStopAction(buffer);
		}
		Buffer rest = (buffer.remaining() > frame) ? buffer.split(buffer.position() + frame) : null;
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
