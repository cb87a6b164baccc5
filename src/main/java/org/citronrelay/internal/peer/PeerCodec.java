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
 * Turns envelopes into MessagePack and back.
 */
final class PeerCodec {

	private static final int HEARTBEAT = 1;

	private static final int CATALOGUE_WANTED = 2;

	private static final int DOCUMENT = 3;

	private static final int OUTCOME_WANTED = 4;

	private static final int OUTCOME_KNOWN = 5;

	private static final int DOCUMENT_WANTED = 6;

	private static final int NOTHING = 7;

	private static final int DONE = 1;

	private static final int NOT_RUN = 2;

	private static final int UNKNOWN = 3;

	private PeerCodec() {
	}

	static byte[] encode(Envelope envelope) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packLong(envelope.call());
			packer.packBoolean(envelope.reply());
			write(packer, envelope.message());
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads an envelope, or says why the bytes are none.
	 */
	static Either<String, Envelope> decode(byte[] bytes) {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			Envelope envelope = new Envelope(unpacker.unpackLong(), unpacker.unpackBoolean(), read(unpacker));
			return unpacker.hasNext() ? Either.left("bytes after the message") : Either.right(envelope);
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
			case PeerMessage.CatalogueWanted wanted -> packer.packInt(CATALOGUE_WANTED).packLong(wanted.number());
			case PeerMessage.Document document -> {
				packer.packInt(DOCUMENT);
				write(packer, document.bytes());
			}
			case PeerMessage.OutcomeWanted wanted -> packer.packInt(OUTCOME_WANTED)
				.packString(wanted.key())
				.packString(wanted.claim())
				.packLong(wanted.waitMs());
			case PeerMessage.OutcomeKnown known -> {
				packer.packInt(OUTCOME_KNOWN)
					.packString(known.key())
					.packString(known.claim().id())
					.packString(known.claim().process())
					.packString(known.claim().bodyDigest());
				write(packer, known.outcome());
			}
			case PeerMessage.DocumentWanted wanted ->
				packer.packInt(DOCUMENT_WANTED).packString(wanted.topic()).packString(wanted.argument());
			case PeerMessage.Nothing _ -> packer.packInt(NOTHING);
		}
	}

	private static void write(MessageBufferPacker packer, PeerStatus status) throws IOException {
		packer.packString(status.process())
			.packString(status.failureDomain())
			.packString(status.address().host())
			.packInt(status.address().port())
			.packLong(status.catalogueNumber())
			.packBoolean(status.leaving())
			.packLong(status.epoch())
			.packBoolean(status.holder())
			.packInt(status.load())
			.packArrayHeader(status.avoided().size());
		for (String vm : status.avoided()) {
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
			case CATALOGUE_WANTED -> new PeerMessage.CatalogueWanted(unpacker.unpackLong());
			case DOCUMENT -> new PeerMessage.Document(readBytes(unpacker));
			case OUTCOME_WANTED ->
				new PeerMessage.OutcomeWanted(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
			case OUTCOME_KNOWN -> new PeerMessage.OutcomeKnown(unpacker.unpackString(),
					new Claim(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString()),
					readOutcome(unpacker));
			case DOCUMENT_WANTED -> new PeerMessage.DocumentWanted(unpacker.unpackString(), unpacker.unpackString());
			case NOTHING -> new PeerMessage.Nothing();
			default -> throw new IllegalArgumentException("no message has type " + type);
		};
	}

	private static PeerStatus readStatus(MessageUnpacker unpacker) throws IOException {
		String process = unpacker.unpackString();
		String failureDomain = unpacker.unpackString();
		Address address = new Address(unpacker.unpackString(), unpacker.unpackInt());
		long catalogueNumber = unpacker.unpackLong();
		boolean leaving = unpacker.unpackBoolean();
		long epoch = unpacker.unpackLong();
		boolean holder = unpacker.unpackBoolean();
		int load = unpacker.unpackInt();
		int count = unpacker.unpackArrayHeader();
		List<String> avoided = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			avoided.add(unpacker.unpackString());
		}
		return new PeerStatus(process, failureDomain, address, catalogueNumber, leaving, epoch, holder, load, avoided);
	}

	private static Outcome readOutcome(MessageUnpacker unpacker) throws IOException {
		int kind = unpacker.unpackInt();
		return switch (kind) {
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
			default -> throw new IllegalArgumentException("no outcome has kind " + kind);
		};
	}

	private static byte[] readBytes(MessageUnpacker unpacker) throws IOException {
		return unpacker.readPayload(unpacker.unpackBinaryHeader());
	}

	/**
	 * A message on its way.
	 *
	 * @param call the number of the call on its link
	 * @param reply whether it answers the call
	 * @param message the message
	 */
	record Envelope(long call, boolean reply, PeerMessage message) {
	}

}
