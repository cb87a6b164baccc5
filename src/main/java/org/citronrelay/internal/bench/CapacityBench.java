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
 * The slopes behind docs/CAPACITY.md, each over at least four sizes.
 */
final class CapacityBench {

	private static final int[] DOMAIN_WORKERS = { 23, 46, 91, 182, 364 };

	private static final int[] TEAM_COUNTS = { 10, 35, 70, 140 };

	private static final int[] JOB_COUNTS = { 200, 400, 800, 1_600 };

	private static final int TASKS_PER_WORKER = 7;

	private static final int TICKS = 200;

	private static final int HEARTBEATS = 200;

	private static final double NANOS_PER_US = TimeUnit.MICROSECONDS.toNanos(1);

	private CapacityBench() {
	}

	static List<Row> run() {
		List<Row> rows = new ArrayList<>();
		ticks(rows);
		holderMemory(rows);
		catalogueBytes(rows);
		recordBytes(rows);
		heartbeat(rows);
		renewal(rows);
		return rows;
	}

	/**
	 * The processor time of a tick of the holder, by the workers of its failure domain.
	 */
	private static void ticks(List<Row> rows) {
		measureTicks(DOMAIN_WORKERS[2]);
		List<Slope.Point> points = new ArrayList<>();
		for (int workers : DOMAIN_WORKERS) {
			points.add(new Slope.Point(workers, measureTicks(workers)));
		}
		add(rows, "processor time of a tick of the holder, by workers", points, "us", 91);
	}

	private static double measureTicks(int workers) {
		BenchDomain domain = DecisionBench.filled(new BenchFleet(workers, 70, 3), workers * TASKS_PER_WORKER);
		long total = 0;
		for (int tick = 0; tick < TICKS; tick++) {
			domain.advance(5);
			total += domain.decideOnly(List.of(new DomainEvent.Tick()));
		}
		return total / NANOS_PER_US / TICKS;
	}

	/**
	 * The memory of the holder's state, by its jobs.
	 */
	private static void holderMemory(List<Row> rows) {
		List<Slope.Point> points = new ArrayList<>();
		for (int jobs : JOB_COUNTS) {
			long before = usedBytes();
			BenchFleet fleet = new BenchFleet(jobs / 4, 70, 5);
			BenchDomain domain = new BenchDomain(fleet);
			for (int number = 0; number < jobs; number++) {
				domain.submit(fleet.job(number));
			}
			double grown = (usedBytes() - before) / 1024.0;
			points.add(new Slope.Point(jobs, grown));
			if (domain.decisions() < 0) {
				throw new IllegalStateException("kept alive until here");
			}
		}
		add(rows, "memory of the holder's state, by jobs (4 jobs a worker)", points, "KB", 67);
	}

	private static void catalogueBytes(List<Row> rows) {
		List<Slope.Point> points = new ArrayList<>();
		for (int teams : TEAM_COUNTS) {
			BenchFleet fleet = new BenchFleet(1_000, teams, 1);
			points.add(new Slope.Point(teams, Json.bytes(CatalogueWriter.write(fleet.catalogue())).length));
		}
		add(rows, "bytes of a catalogue, by teams", points, "bytes", 70);
		byte[] version = CatalogueVersion.NONE.next("change", "author", 0, new BenchFleet(1_000, 70, 1).catalogue())
			.bytes();
		rows.add(Row.atMost("bytes of a stored version with 70 teams", 1024 * 1024, version.length, "bytes"));
	}

	private static void recordBytes(List<Row> rows) {
		BenchFleet fleet = new BenchFleet(1_000, 70, 9);
		long sum = 0;
		for (int number = 0; number < 1_000; number++) {
			sum += fleet.job(number).bytes().length;
		}
		rows.add(Row.plain("bytes of a job's record, mean", Long.toString(sum / 1_000)));
	}

	/**
	 * What one heartbeat and its answer cost, in bytes and processor time of both ends,
	 * by the VMs that the sender avoids.
	 */
	private static void heartbeat(List<Row> rows) {
		Address one = FreeAddresses.next();
		Address other = FreeAddresses.next();
		try (PeerNode caller = new PeerNode(one, (message) -> new PeerMessage.NoContent());
				PeerNode peer = new PeerNode(other, (message) -> message)) {
			beat(caller, peer, other, 0);
			List<Slope.Point> points = new ArrayList<>();
			for (int avoided : new int[] { 0, 4, 8, 16 }) {
				points.add(new Slope.Point(avoided, beat(caller, peer, other, avoided)));
			}
			add(rows, "bytes of a heartbeat and its answer, by avoided VMs", points, "bytes", 1);
			long wire = loopbackBytes();
			beat(caller, peer, other, 0);
			rows.add(Row.plain("bytes on the wire of a heartbeat and its answer",
					Long.toString((loopbackBytes() - wire) / HEARTBEATS)));
			long start = processorNanos();
			beat(caller, peer, other, 1);
			rows.add(Row.plain("processor time of a heartbeat, both ends",
					String.format(Locale.ROOT, "%.0f us", (processorNanos() - start) / NANOS_PER_US / HEARTBEATS)));
		}
	}

	/**
	 * What the renewal of a worker's tasks and its answer put on the wire, headers of TCP
	 * and IP included, by the tasks of the worker.
	 */
	private static void renewal(List<Row> rows) {
		Vm vm = new Vm("vm", "east", "rack", FreeAddresses.next(), 8, 4_096, 65_536, 8, 60, false);
		try (StandInWorker worker = new StandInWorker(vm, 1, 1, Ticker.system());
				HttpClient client = new HttpClient(1 << 20)) {
			WorkerTasks tasks = new HttpWorkerTasks(client, 1_500);
			List<String> ids = new ArrayList<>();
			List<Slope.Point> points = new ArrayList<>();
			for (int count : new int[] { 1, 4, 8, 16 }) {
				while (ids.size() < count) {
					String id = "quebec-city--0123456789abcdef0123." + ids.size() + ".0.1";
					tasks.reserve(vm.address(), 1, new Reservation(id, 0, 0, 8, 16, 3_600_000, 0, 600_000, "payload"));
					ids.add(id);
				}
				points.add(new Slope.Point(count, renewalBytes(tasks, vm, ids)));
			}
			add(rows, "bytes on the wire of a renewal and its answer, by tasks", points, "bytes", 8);
			long start = processorNanos();
			renewalBytes(tasks, vm, ids.subList(0, 8));
			rows.add(Row.plain("processor time of a renewal of 8 tasks, both ends",
					String.format(Locale.ROOT, "%.0f us", (processorNanos() - start) / NANOS_PER_US / HEARTBEATS)));
		}
	}

	private static double renewalBytes(WorkerTasks tasks, Vm vm, List<String> ids) {
		long before = loopbackBytes();
		for (int number = 0; number < HEARTBEATS; number++) {
			tasks.renew(vm.address(), 1, ids, 600_000);
		}
		return (double) (loopbackBytes() - before) / HEARTBEATS;
	}

	/**
	 * The bytes that went over the loopback device so far.
	 */
	private static long loopbackBytes() {
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

	private static double beat(PeerNode caller, PeerNode peer, Address address, int avoided) {
		List<String> names = new SplittableRandom(1).ints(avoided, 0, 1_000)
			.mapToObj((vm) -> "montreal-" + vm)
			.toList();
		PeerStatus status = new PeerStatus("4d0b6ab1-7d0a-4a52-8c2e-0c8d8f1b6a11", "quebec-city", address, 100, false,
				7, true, 0, names);
		long before = caller.transferredBytes();
		for (int number = 0; number < HEARTBEATS; number++) {
			caller.call(address, new PeerMessage.Heartbeat(status), 1_000);
		}
		return (double) (caller.transferredBytes() - before) / HEARTBEATS;
	}

	private static void add(List<Row> rows, String name, List<Slope.Point> points, String unit, int size) {
		Slope slope = Slope.fit(points);
		rows.add(Row.plain(name, String.format(Locale.ROOT, "%.1f + %.2f each %s, error %.1f; %.0f at %d",
				slope.intercept(), slope.perUnit(), unit, slope.error(), slope.at(size), size)));
	}

	private static long usedBytes() {
		for (int round = 0; round < 4; round++) {
			System.gc();
			Pause.millis(20);
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static long processorNanos() {
		return ((com.sun.management.OperatingSystemMXBean) java.lang.management.ManagementFactory
			.getOperatingSystemMXBean()).getProcessCpuTime();
	}

}
