package org.citronrelay.internal.report;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/**
 * Counts of good and bad requests and jobs by team and class, in buckets of a minute over
 * six hours.
 */
public final class ServiceLevels {

	static final int BUCKETS = 360;

	private static final long BUCKET_MS = 60_000;

	private final Map<Key, Ring> rings = new ConcurrentHashMap<>();

	/**
	 * Counts one request or job.
	 */
	public void count(String team, String serviceClass, Kind kind, boolean good, long tookMs, long now) {
		this.rings.computeIfAbsent(new Key(team, serviceClass, kind), (key) -> new Ring()).add(good, tookMs, now);
	}

	/**
	 * The counts of the windows as JSON, so that those of several processes can be added
	 * up.
	 */
	public ObjectNode toJson(long now) {
		ObjectNode body = Json.object();
		this.rings.forEach((key, ring) -> {
			ObjectNode line = body.withArray("levels")
				.addObject()
				.put("team", key.team())
				.put("class", key.serviceClass())
				.put("kind", key.kind().name());
			for (Window window : Window.values()) {
				line.set(window.name(), ring.sum(window.minutes(), now));
			}
		});
		return body;
	}

	/**
	 * What is counted.
	 */
	public enum Kind {

		/** A request. */
		REQUEST,
		/** A job. */
		JOB

	}

	/**
	 * The windows of the report.
	 */
	public enum Window {

		/** Five minutes. */
		M5(5),
		/** Half an hour. */
		M30(30),
		/** An hour. */
		H1(60),
		/** Six hours. */
		H6(360);

		private final int minutes;

		Window(int minutes) {
			this.minutes = minutes;
		}

		/**
		 * The length in minutes.
		 */
		public int minutes() {
			return this.minutes;
		}

	}

	private record Key(String team, String serviceClass, Kind kind) {
	}

	private static final class Ring {

		private final long[] minute = new long[BUCKETS];

		private final int[] total = new int[BUCKETS];

		private final int[] bad = new int[BUCKETS];

		private final long[] tookMs = new long[BUCKETS];

		synchronized void add(boolean good, long took, long now) {
			long present = now / BUCKET_MS;
			int index = (int) (present % BUCKETS);
			if (this.minute[index] != present) {
				this.minute[index] = present;
				this.total[index] = 0;
				this.bad[index] = 0;
				this.tookMs[index] = 0;
			}
			this.total[index]++;
			this.bad[index] += good ? 0 : 1;
			this.tookMs[index] += took;
		}

		synchronized ObjectNode sum(int minutes, long now) {
			long present = now / BUCKET_MS;
			long total = 0;
			long bad = 0;
			long took = 0;
			for (int index = 0; index < BUCKETS; index++) {
				if (this.total[index] > 0 && present - this.minute[index] < minutes) {
					total += this.total[index];
					bad += this.bad[index];
					took += this.tookMs[index];
				}
			}
			return Json.object().put("total", total).put("bad", bad).put("tookMs", took);
		}

	}

}
