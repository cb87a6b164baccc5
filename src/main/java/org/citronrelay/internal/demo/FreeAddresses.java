package org.citronrelay.internal.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

import org.citronrelay.internal.http.Address;

/**
 * Gives out addresses on loopback, each once in a process. The ports lie below those that
 * the system hands to outgoing connections.
 */
public final class FreeAddresses {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int FIRST_PORT = 12_000;

	private static final int PORTS = 20_000;

	private static final AtomicInteger NEXT = new AtomicInteger((int) (ProcessHandle.current().pid() * 211 % PORTS));

	private FreeAddresses() {
	}

	/**
	 * An address that nobody listens on.
	 * @throws IllegalStateException if there is none
	 */
	public static Address next() {
		for (int tried = 0; tried < PORTS; tried++) {
			int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORTS);
			if (free(port)) {
				return new Address(LOOPBACK, port);
			}
		}
		throw new IllegalStateException("no port is free on loopback");
	}

	private static boolean free(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
