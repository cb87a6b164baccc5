package org.citronrelay.internal.http;

import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * What a call on a connection receives next.
 */
sealed interface AnswerPart {

	/**
	 * Some bytes of the body.
	 *
	 * @param header the status line and the headers of the answer
	 * @param bytes the bytes, possibly none
	 * @param last whether the body ends with them
	 */
	record Bytes(HttpResponsePacket header, byte[] bytes, boolean last) implements AnswerPart {
	}

	/**
	 * The rest of the answer will not come.
	 *
	 * @param reason the error that was seen
	 * @param unanswered whether the time-out passed without a single byte of an answer
	 */
	record Lost(String reason, boolean unanswered) implements AnswerPart {
	}

}
