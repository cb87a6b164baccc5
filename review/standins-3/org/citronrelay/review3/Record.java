package org.citronrelay.review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each call, answer, run and disruption. */
final class Record implements AutoCloseable {

	private final long beganAt = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Returns the milliseconds since the case began. */
	long ms() {
		return (System.nanoTime() - this.beganAt) / 1_000_000;
	}

	synchronized void add(String source, String text) {
		this.out.printf("%7d ms  %-10s %s%n", ms(), source, text);
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
