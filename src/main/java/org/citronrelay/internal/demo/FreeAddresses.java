package org.citronrelay.internal.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

import org.citronrelay.internal.http.Address;

/**
 * Allocates addresses on loopback and does not return the same one again within a
 * process. The ports are below those that the system uses for outgoing connections. The
 * first port depends on the process id, so that concurrent processes rarely try the same
 * ports.
 */
public final class FreeAddresses {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int FIRST_PORT = 12_000;

	private static final int PORTS = 20_000;

	private static final AtomicInteger NEXT = new AtomicInteger((int) (ProcessHandle.current().pid() * 211 % PORTS));

	private FreeAddresses() {
	}

	/**
	 * Returns an address on which no process listens.
	 * @throws IllegalStateException if all ports are in use
	 */
	public static Address next() {
		for (int attempt = 0; attempt < PORTS; attempt++) {
			int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORTS);
			if (isFree(port)) {
				return new Address(LOOPBACK, port);
			}
		}
		throw new IllegalStateException(
				"no free port on " + LOOPBACK + " from " + FIRST_PORT + " to " + (FIRST_PORT + PORTS - 1));
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
