package org.citronrelay.internal.http;

import java.util.Map;
import java.util.TreeMap;

import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * What a call on a connection receives next.
 */
sealed interface AnswerPart {

	/**
	 * Some bytes of the body.
	 *
	 * @param head the beginning of the answer
	 * @param bytes the bytes, possibly none
	 * @param last whether the body ends with them
	 */
	record Bytes(Head head, byte[] bytes, boolean last) implements AnswerPart {
	}

	/**
	 * The rest of the answer will not come.
	 *
	 * @param reason the error that was seen
	 * @param unanswered whether the time-out passed without a single byte of an answer
	 */
	record Lost(String reason, boolean unanswered) implements AnswerPart {
	}

	/**
	 * The beginning of an answer.
	 *
	 * @param status the HTTP status
	 * @param headers the headers
	 * @param length the declared length of the body, negative if there is none
	 * @param chunked whether the body is chunked
	 */
	record Head(int status, Map<String, String> headers, long length, boolean chunked) {

		/**
		 * Copies what is needed of a packet, which Grizzly may use for another answer
		 * afterwards.
		 */
		static Head of(HttpResponsePacket packet) {
			Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
			for (String name : packet.getHeaders().names()) {
				headers.put(name, packet.getHeader(name));
			}
			return new Head(packet.getStatus(), headers, packet.getContentLength(), packet.isChunked());
		}

	}

}
