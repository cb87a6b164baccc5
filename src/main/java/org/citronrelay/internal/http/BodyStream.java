package org.citronrelay.internal.http;

import java.io.IOException;
import java.io.OutputStream;

/**
 * The rest of an answer's body that is still being received. Closing it releases what it
 * is received on.
 */
public interface BodyStream extends AutoCloseable {

	/**
	 * Writes the rest as it arrives.
	 * @throws IOException if the rest does not arrive, or cannot be written
	 */
	void copyTo(OutputStream out) throws IOException;

	@Override
	void close();

}
