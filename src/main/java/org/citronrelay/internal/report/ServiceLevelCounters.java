package org.citronrelay.internal.report;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.json.Json;

/**
 * Counts good and bad requests and jobs by team, class and kind, in buckets of one minute
 * over the last six hours. Times are monotonic milliseconds.
 */
public final class ServiceLevelCounters {

	static final int BUCKET_COUNT = 360;

	private static final long BUCKET_MS = 60_000;

	private final Map<Key, MinuteBuckets> bucketsByKey = new ConcurrentHashMap<>();

	/**
	 * Counts one request or job that has ended.
	 * @param good whether it met the objective of its class
	 * @param durationMs how long it took, in milliseconds
	 * @param now the current time in monotonic milliseconds
	 */
	public void record(String team, String serviceClass, Kind kind, boolean good, long durationMs, long now) {
		this.bucketsByKey.computeIfAbsent(new Key(team, serviceClass, kind), (key) -> new MinuteBuckets())
			.add(good, durationMs, now);
	}

	/**
	 * Returns the counts of each window as JSON. Counts, not rates, are returned so that
	 * those of several processes can be added up.
	 * @param now the current time in monotonic milliseconds
	 */
	public ObjectNode toJson(long now) {
		ObjectNode body = Json.object();
		this.bucketsByKey.forEach((key, buckets) -> {
			ObjectNode line = body.withArray("levels")
				.addObject()
				.put("team", key.team())
				.put("class", key.serviceClass())
				.put("kind", key.kind().name());
			for (Window window : Window.values()) {
				line.set(window.name(), buckets.sum(window.minutes(), now));
			}
		});
		return body;
	}

	/**
	 * The kinds of work that are counted.
	 */
	public enum Kind {

		/** A request. */
		REQUEST,
		/** A job. */
		JOB

	}

	/**
	 * The periods up to now over which counts are added up.
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
		 * Returns the length in minutes.
		 */
		public int minutes() {
			return this.minutes;
		}

	}

	private record Key(String team, String serviceClass, Kind kind) {
	}

	private static final class MinuteBuckets {

		private final long[] bucketMinutes = new long[BUCKET_COUNT];

		private final int[] total = new int[BUCKET_COUNT];

		private final int[] bad = new int[BUCKET_COUNT];

		private final long[] durationMs = new long[BUCKET_COUNT];

		synchronized void add(boolean good, long durationMs, long now) {
			long currentMinute = now / BUCKET_MS;
			int index = (int) (currentMinute % BUCKET_COUNT);
			if (this.bucketMinutes[index] != currentMinute) {
				this.bucketMinutes[index] = currentMinute;
				this.total[index] = 0;
				this.bad[index] = 0;
				this.durationMs[index] = 0;
			}
			this.total[index]++;
			this.bad[index] += good ? 0 : 1;
			this.durationMs[index] += durationMs;
		}

		synchronized ObjectNode sum(int minutes, long now) {
			long currentMinute = now / BUCKET_MS;
			long total = 0;
			long bad = 0;
			long durationMs = 0;
			for (int index = 0; index < BUCKET_COUNT; index++) {
				if (this.total[index] > 0 && currentMinute - this.bucketMinutes[index] < minutes) {
					total += this.total[index];
					bad += this.bad[index];
					durationMs += this.durationMs[index];
				}
			}
			return Json.object().put("total", total).put("bad", bad).put("tookMs", durationMs);
		}

	}

}
