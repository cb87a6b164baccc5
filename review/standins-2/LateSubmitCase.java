package org.citronrelay.soak;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.time.Pause;

/**
 * The store gives no answer to the write calls of one job and carries them out some
 * seconds later. The requester gets no success, gives up and cancels the job.
 */
final class LateSubmitCase implements ReviewCase.Case {

	private static final String JOB = "00000000000000e1";

	/** The time after which a late call is carried out; the page names 1 to 6 s. */
	private static final long LATE_MS = 5_800;

	/** The share of the write calls that may get no answer. */
	private static final double LARGEST_SHARE = 0.35;

	/** Jobs that are handed in at the same time, and whose writes are answered. */
	private static final int OTHERS = 12;

	private static final long CANCEL_MS = 3_000;

	private static final long WATCH_MS = 15_000;

	private final AtomicInteger writes = new AtomicInteger();

	private final AtomicInteger lost = new AtomicInteger();

	private volatile boolean armed;

	@Override
	public Predicate<String> late(boolean trouble) {
		return (transaction) -> {
			if (!this.armed) {
				return false;
			}
			this.writes.incrementAndGet();
			boolean chosen = trouble && transaction.contains(JOB);
			this.lost.addAndGet(chosen ? 1 : 0);
			return chosen;
		};
	}

	@Override
	public long lateMs() {
		return LATE_MS;
	}

	@Override
	public boolean run(Deployment deployment, boolean trouble) throws IOException {
		deployment.writeConfig(Map.of("tenant-a", 0));
		deployment.addWorkers(2, 8, 0);
		deployment.start();
		Record record = deployment.record;
		Pause.millis(2_000);
		this.armed = true;
		Thread others = Thread.ofVirtual().start(() -> {
			for (int number = 0; number < OTHERS; number++) {
				deployment.submit(String.format("%016x", 0xe100 + number), 1, "tenant-a", job(300));
				Pause.millis(80);
			}
		});
		Entry entry = deployment.entries.getFirst();
		Optional<Entry.Reply> submitted = entry.call(deployment.client, "POST", "/p1/" + JOB, "tenant-a-key",
				job(60_000));
		record.add("POST " + JOB + " -> " + submitted.map(Entry.Reply::toString).orElse("no answer"));
		join(others);
		this.armed = false;
		record.add("of " + this.writes.get() + " write calls " + this.lost.get() + " got no answer");
		if (this.lost.get() > LARGEST_SHARE * this.writes.get()) {
			throw new Deployment.CannotRun("too many write calls got no answer");
		}
		Optional<Entry.Reply> cancelled = Optional.empty();
		while (cancelled.filter((reply) -> reply.status() / 100 == 2 || reply.status() == 410).isEmpty()) {
			cancelled = entry.call(deployment.client, "DELETE", "/p1/" + JOB, "tenant-a-key", null);
			record.add("DELETE " + JOB + " -> " + cancelled.map(Entry.Reply::toString).orElse("no answer"));
			if (record.nowMs() > 60_000) {
				throw new Deployment.CannotRun("the cancellation was not acknowledged");
			}
		}
		long acknowledged = record.nowMs();
		Pause.millis(WATCH_MS);
		record.add("GET " + JOB + " -> " + deployment.state(JOB, 1, "tenant-a").orElse("none"));
		long begun = record.events("start")
			.stream()
			.filter((event) -> event.task().startsWith(JOB))
			.mapToLong(Record.Event::atMs)
			.max()
			.orElse(0);
		record.add("the cancellation was acknowledged at " + acknowledged + " ms; the last start of a work item of "
				+ JOB + " was at " + begun + " ms (0 for none)");
		return begun > acknowledged + CANCEL_MS;
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static ObjectNode job(long workMs) {
		ObjectNode body = Json.object().put("spec", Json.object().put("workMs", workMs).toString());
		body.putArray("phases")
			.addObject()
			.put("count", 1)
			.put("cpu", 15_000)
			.put("memMb", 60_000)
			.put("gpu", 1)
			.put("estRuntimeMs", workMs);
		return body;
	}

}
