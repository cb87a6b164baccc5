package org.citronrelay.internal.http;

import java.net.InetSocketAddress;
import java.util.Objects;

import io.vavr.control.Option;

/**
 * An IP address and port.
 *
 * @param host the IP address
 * @param port the port, from 1 to 65535
 */
public record Address(String host, int port) {

	public Address {
		Objects.requireNonNull(host, "host");
		if (port < 1 || port > 65535) {
			throw new IllegalArgumentException("port " + port + " is not between 1 and 65535");
		}
	}

	/**
	 * Parses {@code host:port}.
	 * @return the address, or none if the text has another form or the port is out of
	 * range
	 */
	public static Option<Address> parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			return Option.none();
		}
		try {
			return Option.some(new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
		}
		catch (IllegalArgumentException ex) {
			return Option.none();
		}
	}

	/**
	 * Returns the address as a socket address.
	 */
	public InetSocketAddress socket() {
		return new InetSocketAddress(this.host, this.port);
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
