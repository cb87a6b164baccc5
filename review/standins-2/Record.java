package org.citronrelay.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * What requesters and workers have seen, in order, written to the record of the case.
 */
final class Record implements AutoCloseable {

	private final long beganAt = System.nanoTime();

	private final PrintWriter file;

	private final List<Event> events = new ArrayList<>();

	Record(Path path) {
		try {
			this.file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	long nowMs() {
		return (System.nanoTime() - this.beganAt) / 1_000_000;
	}

	synchronized void add(String text) {
		this.file.println(String.format(Locale.ROOT, "%8.3f %s", nowMs() / 1_000.0, text));
	}

	synchronized void started(String worker, long born, String task, long run, long token) {
		this.events.add(new Event(nowMs(), "start", worker, born, task, run, ""));
		add(worker + " starts " + task + " run " + run + ", token " + token);
	}

	synchronized void ended(String worker, String task, long run, String how) {
		this.events.add(new Event(nowMs(), "end", worker, 0, task, run, how));
		add(worker + " ends " + task + " run " + run + ": " + how);
	}

	/**
	 * Records that a work item has crashed its worker, and which runs were lost.
	 */
	synchronized void crashed(String worker, long born, String cause, Set<String> lost) {
		this.events.add(new Event(nowMs(), "crash", worker, born, cause, 0, String.join(" ", lost)));
	}

	synchronized List<Event> events(String kind) {
		return this.events.stream().filter((event) -> event.kind().equals(kind)).toList();
	}

	@Override
	public synchronized void close() {
		this.file.close();
	}

	/**
	 * Something that a worker has seen.
	 *
	 * @param atMs when, in milliseconds since the case began
	 */
	record Event(long atMs, String kind, String worker, long born, String task, long run, String how) {
	}

}
