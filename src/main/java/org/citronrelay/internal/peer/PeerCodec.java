package org.citronrelay.internal.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.claim.Claim;
import org.citronrelay.internal.http.Address;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes envelopes as MessagePack and decodes them.
 */
final class PeerCodec {

	private static final int HEARTBEAT = 1;

	private static final int CATALOGUE_REQUEST = 2;

	private static final int DOCUMENT = 3;

	private static final int OUTCOME_REQUEST = 4;

	private static final int OUTCOME_REPORT = 5;

	private static final int DOCUMENT_REQUEST = 6;

	private static final int NO_CONTENT = 7;

	private static final int DONE = 1;

	private static final int NOT_RUN = 2;

	private static final int UNKNOWN = 3;

	private PeerCodec() {
	}

	static byte[] encode(Envelope envelope) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packLong(envelope.callId());
			packer.packBoolean(envelope.reply());
			write(packer, envelope.message());
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes an envelope.
	 * @return the envelope, or why the bytes are not a valid one
	 */
	static Either<String, Envelope> decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			Envelope envelope = new Envelope(unpacker.unpackLong(), unpacker.unpackBoolean(), read(unpacker));
			return unpacker.hasNext() ? Either.left("unexpected bytes after the message") : Either.right(envelope);
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			return Either.left(ex.getClass().getSimpleName() + ": " + ex.getMessage());
		}
	}

	private static void write(MessageBufferPacker packer, PeerMessage message) throws IOException {
		switch (message) {
			case PeerMessage.Heartbeat heartbeat -> {
				packer.packInt(HEARTBEAT);
				write(packer, heartbeat.status());
			}
			case PeerMessage.CatalogueRequest request ->
				packer.packInt(CATALOGUE_REQUEST).packLong(request.minNumber());
			case PeerMessage.Document document -> {
				packer.packInt(DOCUMENT);
				write(packer, document.bytes());
			}
			case PeerMessage.OutcomeRequest request -> packer.packInt(OUTCOME_REQUEST)
				.packString(request.key())
				.packString(request.claimId())
				.packLong(request.waitMs());
			case PeerMessage.OutcomeReport report -> {
				packer.packInt(OUTCOME_REPORT)
					.packString(report.key())
					.packString(report.claim().id())
					.packString(report.claim().process())
					.packString(report.claim().bodyDigest());
				write(packer, report.outcome());
			}
			case PeerMessage.DocumentRequest request ->
				packer.packInt(DOCUMENT_REQUEST).packString(request.topic()).packString(request.argument());
			case PeerMessage.NoContent _ -> packer.packInt(NO_CONTENT);
		}
	}

	private static void write(MessageBufferPacker packer, PeerStatus status) throws IOException {
		packer.packString(status.process())
			.packString(status.failureDomain())
			.packString(status.address().host())
			.packInt(status.address().port())
			.packLong(status.catalogueNumber())
			.packBoolean(status.stopping())
			.packLong(status.epoch())
			.packBoolean(status.holder())
			.packInt(status.queuedAccelerators())
			.packArrayHeader(status.drainingVms().size());
		for (String vm : status.drainingVms()) {
			packer.packString(vm);
		}
	}

	private static void write(MessageBufferPacker packer, Outcome outcome) throws IOException {
		switch (outcome) {
			case Outcome.Done done -> {
				packer.packInt(DONE).packInt(done.status()).packMapHeader(done.headers().size());
				for (Map.Entry<String, String> header : done.headers().entrySet()) {
					packer.packString(header.getKey()).packString(header.getValue());
				}
				write(packer, done.body());
			}
			case Outcome.NotRun notRun -> packer.packInt(NOT_RUN)
				.packString(notRun.cause().name())
				.packString(notRun.reason())
				.packLong(notRun.retryAfterMs());
			case Outcome.Unknown unknown -> packer.packInt(UNKNOWN).packString(unknown.reason());
		}
	}

	private static void write(MessageBufferPacker packer, byte[] bytes) throws IOException {
		packer.packBinaryHeader(bytes.length);
		packer.writePayload(bytes);
	}

	private static PeerMessage read(MessageUnpacker unpacker) throws IOException {
		int type = unpacker.unpackInt();
		return switch (type) {
			case HEARTBEAT -> new PeerMessage.Heartbeat(readStatus(unpacker));
			case CATALOGUE_REQUEST -> new PeerMessage.CatalogueRequest(unpacker.unpackLong());
			case DOCUMENT -> new PeerMessage.Document(readBytes(unpacker));
			case OUTCOME_REQUEST ->
				new PeerMessage.OutcomeRequest(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
			case OUTCOME_REPORT -> new PeerMessage.OutcomeReport(unpacker.unpackString(),
					new Claim(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString()),
					readOutcome(unpacker));
			case DOCUMENT_REQUEST -> new PeerMessage.DocumentRequest(unpacker.unpackString(), unpacker.unpackString());
			case NO_CONTENT -> new PeerMessage.NoContent();
			default -> throw new IllegalArgumentException("unknown message type " + type);
		};
	}

	private static PeerStatus readStatus(MessageUnpacker unpacker) throws IOException {
		String process = unpacker.unpackString();
		String failureDomain = unpacker.unpackString();
		Address address = new Address(unpacker.unpackString(), unpacker.unpackInt());
		long catalogueNumber = unpacker.unpackLong();
		boolean stopping = unpacker.unpackBoolean();
		long epoch = unpacker.unpackLong();
		boolean holder = unpacker.unpackBoolean();
		int queuedAccelerators = unpacker.unpackInt();
		int count = unpacker.unpackArrayHeader();
		List<String> drainingVms = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			drainingVms.add(unpacker.unpackString());
		}
		return new PeerStatus(process, failureDomain, address, catalogueNumber, stopping, epoch, holder,
				queuedAccelerators, drainingVms);
	}

	private static Outcome readOutcome(MessageUnpacker unpacker) throws IOException {
		int type = unpacker.unpackInt();
		return switch (type) {
			case DONE -> {
				int status = unpacker.unpackInt();
				int count = unpacker.unpackMapHeader();
				Map<String, String> headers = new HashMap<>();
				for (int index = 0; index < count; index++) {
					headers.put(unpacker.unpackString(), unpacker.unpackString());
				}
				yield new Outcome.Done(status, headers, readBytes(unpacker));
			}
			case NOT_RUN -> new Outcome.NotRun(NotRunCause.valueOf(unpacker.unpackString()), unpacker.unpackString(),
					unpacker.unpackLong());
			case UNKNOWN -> new Outcome.Unknown(unpacker.unpackString());
			default -> throw new IllegalArgumentException("unknown outcome type " + type);
		};
	}

	private static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
		return unpacker.readPayload(unpacker.unpackBinaryHeader());
	}

	/**
	 * A message and the call that it belongs to.
	 *
	 * @param callId the id of the call, unique at its caller
	 * @param reply whether the message is the reply to the call
	 * @param message the message
	 */
	record Envelope(long callId, boolean reply, PeerMessage message) {
	}

}
