package org.citronrelay.review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** The link of a machine to the store: forwards connections at a limited rate. */
final class Link implements AutoCloseable {

	private static final int CHUNK_BYTES = 4_096;

	private final ServerSocket socket;

	private final int target;

	private final double bytesPerNano;

	private final long[] freeAt = new long[2];

	/**
	 * Opens a link.
	 * @param target the port of the store
	 * @param mbps the rate in each direction, in Mbit/s
	 */
	Link(int target, double mbps) {
		this.target = target;
		this.bytesPerNano = mbps * 1e6 / 8 / 1e9;
		try {
			this.socket = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		Thread.ofVirtual().start(this::accept);
	}

	int port() {
		return this.socket.getLocalPort();
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket client = this.socket.accept();
				Socket store = new Socket(InetAddress.getLoopbackAddress(), this.target);
				client.setTcpNoDelay(true);
				store.setTcpNoDelay(true);
				Thread.ofVirtual().start(() -> copy(client, store, 0));
				Thread.ofVirtual().start(() -> copy(store, client, 1));
			}
			catch (IOException ex) {
				// The link was closed, or the store has closed the connection.
			}
		}
	}

	private void copy(Socket from, Socket to, int direction) {
		byte[] chunk = new byte[CHUNK_BYTES];
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int read = in.read(chunk); read >= 0; read = in.read(chunk)) {
				pass(direction, read);
				out.write(chunk, 0, read);
			}
		}
		catch (IOException ex) {
			// One side has closed the connection, so the other one is closed, too.
		}
	}

	/** Waits until the link has carried the bytes. */
	private void pass(int direction, int bytes) {
		long until;
		synchronized (this.freeAt) {
			long now = System.nanoTime();
			until = Math.max(now, this.freeAt[direction]) + (long) (bytes / this.bytesPerNano);
			this.freeAt[direction] = until;
		}
		long waitMs = (until - System.nanoTime()) / 1_000_000;
		if (waitMs > 0) {
			Stage.pause(waitMs);
		}
	}

}
