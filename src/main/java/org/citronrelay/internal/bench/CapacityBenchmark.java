package org.citronrelay.internal.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.catalogue.CatalogueWriter;
import org.citronrelay.internal.demo.FreeAddresses;
import org.citronrelay.internal.gang.DomainEvent;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.peer.PeerMessage;
import org.citronrelay.internal.peer.PeerNode;
import org.citronrelay.internal.peer.PeerStatus;
import org.citronrelay.internal.platform.HttpWorkerTasks;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.platform.WorkerTasks;
import org.citronrelay.internal.platform.WorkerTasks.Reservation;
import org.citronrelay.internal.standin.StandInWorker;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * Measures how time, memory and network traffic grow with the size of the deployment,
 * with a linear fit over at least four sizes each. The results are the basis of
 * docs/CAPACITY.md.
 */
final class CapacityBenchmark {

	private static final int[] WORKER_COUNTS = { 23, 46, 91, 182, 364 };

	private static final int[] TEAM_COUNTS = { 10, 35, 70, 140 };

	private static final int[] JOB_COUNTS = { 200, 400, 800, 1_600 };

	private static final int TASKS_PER_WORKER = 7;

	private static final int TICK_COUNT = 200;

	private static final int CALLS_PER_SAMPLE = 200;

	private static final double NANOS_PER_US = TimeUnit.MICROSECONDS.toNanos(1);

	private CapacityBenchmark() {
	}

	static List<Measurement> run() {
		List<Measurement> measurements = new ArrayList<>();
		measureTickTimes(measurements);
		measureHolderMemory(measurements);
		measureCatalogueSize(measurements);
		measureRecordSize(measurements);
		measureHeartbeat(measurements);
		measureRenewal(measurements);
		return measurements;
	}

	/**
	 * Measures the time the holder needs for one tick, by number of workers in its
	 * failure domain.
	 */
	private static void measureTickTimes(List<Measurement> measurements) {
		// Warms up the JIT compiler; the result is not used.
		meanTickMicros(WORKER_COUNTS[2]);
		List<LinearFit.Point> points = new ArrayList<>();
		for (int workers : WORKER_COUNTS) {
			points.add(new LinearFit.Point(workers, meanTickMicros(workers)));
		}
		addFit(measurements, "duration of a holder's tick, by workers", points, "us", 91);
	}

	private static double meanTickMicros(int workers) {
		BenchmarkDomain domain = DecisionBenchmark.domainWithTasks(new BenchmarkFleet(workers, 70, 3),
				workers * TASKS_PER_WORKER);
		long totalNanos = 0;
		for (int tick = 0; tick < TICK_COUNT; tick++) {
			domain.advanceMs(5);
			totalNanos += domain.decideOnly(List.of(new DomainEvent.Tick()));
		}
		return totalNanos / NANOS_PER_US / TICK_COUNT;
	}

	/**
	 * Measures the heap used by the state of the holder, by number of jobs.
	 */
	private static void measureHolderMemory(List<Measurement> measurements) {
		List<LinearFit.Point> points = new ArrayList<>();
		for (int jobs : JOB_COUNTS) {
			long before = usedHeapBytes();
			BenchmarkFleet fleet = new BenchmarkFleet(jobs / 4, 70, 5);
			BenchmarkDomain domain = new BenchmarkDomain(fleet);
			for (int number = 0; number < jobs; number++) {
				domain.submit(fleet.randomJob(number));
			}
			double grownKb = (usedHeapBytes() - before) / 1024.0;
			points.add(new LinearFit.Point(jobs, grownKb));
			// This use of the domain prevents its collection before the measurement.
			if (domain.decisionCount() < 0) {
				throw new IllegalStateException("the number of decisions is negative");
			}
		}
		addFit(measurements, "heap used by a holder's state, by jobs (4 jobs per worker)", points, "KB", 67);
	}

	private static void measureCatalogueSize(List<Measurement> measurements) {
		List<LinearFit.Point> points = new ArrayList<>();
		for (int teams : TEAM_COUNTS) {
			BenchmarkFleet fleet = new BenchmarkFleet(1_000, teams, 1);
			points.add(new LinearFit.Point(teams, Json.bytes(CatalogueWriter.write(fleet.catalogue())).length));
		}
		addFit(measurements, "size of a catalogue, by teams", points, "bytes", 70);
		byte[] version = CatalogueVersion.NONE.next("change", "author", 0, new BenchmarkFleet(1_000, 70, 1).catalogue())
			.bytes();
		measurements.add(Measurement.atMost("size of a stored catalogue version with 70 teams", 1024 * 1024,
				version.length, "bytes"));
	}

	private static void measureRecordSize(List<Measurement> measurements) {
		BenchmarkFleet fleet = new BenchmarkFleet(1_000, 70, 9);
		long sum = 0;
		for (int number = 0; number < 1_000; number++) {
			sum += fleet.randomJob(number).bytes().length;
		}
		measurements.add(Measurement.withoutTarget("mean size of a job record, bytes", Long.toString(sum / 1_000)));
	}

	/**
	 * Measures the bytes of one heartbeat with its answer, by number of VMs that the
	 * sender reports as avoided, and the processor time of sender and receiver together.
	 */
	private static void measureHeartbeat(List<Measurement> measurements) {
		Address callerAddress = FreeAddresses.next();
		Address peerAddress = FreeAddresses.next();
		try (PeerNode caller = new PeerNode(callerAddress, (message) -> new PeerMessage.NoContent());
				PeerNode peer = new PeerNode(peerAddress, (message) -> message)) {
			// Warms up; the result is not used.
			bytesPerHeartbeat(caller, peer, peerAddress, 0);
			List<LinearFit.Point> points = new ArrayList<>();
			for (int avoided : new int[] { 0, 4, 8, 16 }) {
				points.add(new LinearFit.Point(avoided, bytesPerHeartbeat(caller, peer, peerAddress, avoided)));
			}
			addFit(measurements, "bytes of a heartbeat and its answer, by avoided VMs in the heartbeat", points,
					"bytes", 1);
			long bytesBefore = loopbackBytesReceived();
			bytesPerHeartbeat(caller, peer, peerAddress, 0);
			measurements.add(Measurement.withoutTarget("bytes on the wire of a heartbeat and its answer",
					Long.toString((loopbackBytesReceived() - bytesBefore) / CALLS_PER_SAMPLE)));
			long startNanos = processorTimeNanos();
			bytesPerHeartbeat(caller, peer, peerAddress, 1);
			measurements.add(Measurement.withoutTarget("processor time of a heartbeat, sender and receiver together",
					String.format(Locale.ROOT, "%.0f us",
							(processorTimeNanos() - startNanos) / NANOS_PER_US / CALLS_PER_SAMPLE)));
		}
	}

	/**
	 * Measures the bytes of one lease renewal with its answer, including the TCP and IP
	 * headers, by number of tasks of the worker.
	 */
	private static void measureRenewal(List<Measurement> measurements) {
		Vm vm = new Vm("vm", "east", "rack", FreeAddresses.next(), 8, 4_096, 65_536, 8, 60, false);
		try (StandInWorker worker = new StandInWorker(vm, 1, 1, Ticker.system());
				HttpClient client = new HttpClient(1 << 20)) {
			WorkerTasks tasks = new HttpWorkerTasks(client, 1_500);
			List<String> ids = new ArrayList<>();
			List<LinearFit.Point> points = new ArrayList<>();
			for (int count : new int[] { 1, 4, 8, 16 }) {
				while (ids.size() < count) {
					String id = "quebec-city--0123456789abcdef0123." + ids.size() + ".0.1";
					tasks.reserve(vm.address(), 1, new Reservation(id, 0, 0, 8, 16, 3_600_000, 0, 600_000, "payload"));
					ids.add(id);
				}
				points.add(new LinearFit.Point(count, bytesPerRenewal(tasks, vm, ids)));
			}
			addFit(measurements, "bytes on the wire of a lease renewal and its answer, by tasks", points, "bytes", 8);
			long startNanos = processorTimeNanos();
			bytesPerRenewal(tasks, vm, ids.subList(0, 8));
			measurements.add(Measurement.withoutTarget(
					"processor time of a lease renewal of 8 tasks, caller and worker together",
					String.format(Locale.ROOT, "%.0f us",
							(processorTimeNanos() - startNanos) / NANOS_PER_US / CALLS_PER_SAMPLE)));
		}
	}

	private static double bytesPerRenewal(WorkerTasks tasks, Vm vm, List<String> ids) {
		long before = loopbackBytesReceived();
		for (int number = 0; number < CALLS_PER_SAMPLE; number++) {
			tasks.renew(vm.address(), 1, ids, 600_000);
		}
		return (double) (loopbackBytesReceived() - before) / CALLS_PER_SAMPLE;
	}

	/**
	 * Returns the bytes received so far by the loopback device, which are also the bytes
	 * sent over it. Traffic of other processes is included.
	 */
	private static long loopbackBytesReceived() {
		try (Stream<String> lines = Files.lines(Path.of("/proc/self/net/dev"))) {
			return lines.map(String::strip)
				.filter((line) -> line.startsWith("lo:"))
				.mapToLong((line) -> Long.parseLong(line.substring("lo:".length()).strip().split("\\s+")[0]))
				.sum();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static double bytesPerHeartbeat(PeerNode caller, PeerNode peer, Address address, int avoided) {
		List<String> avoidedVms = new SplittableRandom(1).ints(avoided, 0, 1_000)
			.mapToObj((number) -> "montreal-" + number)
			.toList();
		PeerStatus status = new PeerStatus("4d0b6ab1-7d0a-4a52-8c2e-0c8d8f1b6a11", "quebec-city", address, 100, false,
				7, true, 0, avoidedVms);
		long before = caller.transferredBytes();
		for (int number = 0; number < CALLS_PER_SAMPLE; number++) {
			caller.call(address, new PeerMessage.Heartbeat(status), 1_000);
		}
		return (double) (caller.transferredBytes() - before) / CALLS_PER_SAMPLE;
	}

	private static void addFit(List<Measurement> measurements, String name, List<LinearFit.Point> points, String unit,
			int referenceSize) {
		LinearFit fit = LinearFit.fit(points);
		measurements.add(Measurement.withoutTarget(name,
				String.format(Locale.ROOT, "%.1f + %.2f %s per unit, RMS error %.1f; %.0f at %d", fit.intercept(),
						fit.perUnit(), unit, fit.rmsError(), fit.valueAt(referenceSize), referenceSize)));
	}

	/**
	 * Returns the used heap after several garbage collections.
	 */
	private static long usedHeapBytes() {
		for (int collection = 0; collection < 4; collection++) {
			System.gc();
			Pause.millis(20);
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static long processorTimeNanos() {
		return ((com.sun.management.OperatingSystemMXBean) java.lang.management.ManagementFactory
			.getOperatingSystemMXBean()).getProcessCpuTime();
	}

}
