package org.citronrelay.endtoend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.demo.FleetPlan;
import org.citronrelay.internal.demo.FreeAddresses;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.platform.HttpVmList;
import org.citronrelay.internal.platform.Vm;

import static org.awaitility.Awaitility.await;

/**
 * A deployment in which every entry process and every stand-in for the key-value service,
 * the VM list and the workers is a separate operating system process.
 */
public final class ProcessDeployment implements AutoCloseable {

	/** The operator token that the entry processes accept. */
	public static final String OPERATOR_TOKEN = "test-operator";

	private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

	private final Path folder;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Map<String, Address> entries = new LinkedHashMap<>();

	private final HttpClient client = new HttpClient(16 * 1024 * 1024);

	private final Address kv = FreeAddresses.next();

	private final Address vmList = FreeAddresses.next();

	private final List<Vm> vms;

	public ProcessDeployment(FleetPlan plan, long timePercent) {
		this.folder = temporaryFolder();
		this.vms = plan.vms(FreeAddresses::next);
		Path vmFile = write("vms.json", Json.bytes(HttpVmList.toJson(this.vms)));
		start("kv", "standin", "kv", "--listen", this.kv.toString());
		start("vmlist", "standin", "vmlist", "--listen", this.vmList.toString(), "--vms", vmFile.toString());
		for (Vm vm : this.vms) {
			start(vm.id(), "standin", "worker", "--vms", vmFile.toString(), "--id", vm.id(), "--time-percent",
					Long.toString(timePercent));
		}
		awaitListening(this.kv, "/control/calls");
		awaitListening(this.vmList, "/vms");
		this.vms.forEach((vm) -> awaitListening(vm.address(), "/health"));
		for (FleetPlan.DomainPlan domain : plan.domains()) {
			for (int number = 1; number <= domain.entries(); number++) {
				startEntry(domain.name() + "-entry-" + number, domain.name());
			}
		}
	}

	/**
	 * Starts an entry process and waits until it answers.
	 * @param name the name for use with the other methods of this class
	 * @param domain its failure domain
	 */
	public void startEntry(String name, String domain) {
		Address httpAddress = FreeAddresses.next();
		ObjectNode settings = Json.object()
			.put("failureDomain", domain)
			.put("http", httpAddress.toString())
			.put("peers", FreeAddresses.next().toString())
			.put("keyValue", this.kv.toString())
			.put("vmList", this.vmList.toString());
		settings.putArray("operatorTokenDigests").add(CatalogueVersion.sha256(OPERATOR_TOKEN));
		Path settingsFile = write(name + ".json", Json.bytes(settings));
		start(name, "entry", "--settings", settingsFile.toString());
		this.entries.put(name, httpAddress);
		awaitListening(httpAddress, "/health/live");
	}

	/**
	 * Returns the names of the entry processes in use, in the order of their start.
	 */
	public List<String> entryNames() {
		return List.copyOf(this.entries.keySet());
	}

	/**
	 * Returns the VMs of all failure domains.
	 */
	public List<Vm> vms() {
		return this.vms;
	}

	/**
	 * Returns the operating system process of an entry process or stand-in.
	 * @param name the name of the entry process, the id of the VM, {@code kv} or
	 * {@code vmlist}
	 */
	public Process process(String name) {
		return this.processes.get(name);
	}

	/**
	 * Kills an entry process and removes it from the names in use.
	 */
	public void killEntry(String entry) {
		this.processes.get(entry).destroyForcibly();
		removeEntry(entry);
	}

	/**
	 * Removes an entry process from the names in use. The process is not stopped.
	 */
	public void removeEntry(String entry) {
		this.entries.remove(entry);
	}

	/**
	 * Calls an entry process.
	 * @return the reply, whatever its status
	 * @throws AssertionError if no reply arrives within 30 s
	 */
	public HttpReply callEntry(String entry, String token, HttpCall call) {
		return answered(exchangeWithEntry(entry, token, call, 30_000));
	}

	/**
	 * Calls an entry process and returns the result also if there was no reply.
	 */
	public Exchange exchangeWithEntry(String entry, String token, HttpCall call, long timeoutMs) {
		return this.client.exchange(this.entries.get(entry), call.header("Authorization", "Bearer " + token), timeoutMs,
				true);
	}

	/**
	 * Calls a stand-in.
	 * @return the reply, whatever its status
	 * @throws AssertionError if no reply arrives within 10 s
	 */
	public HttpReply callStandIn(Address address, HttpCall call) {
		return answered(this.client.exchange(address, call, 10_000, true));
	}

	/**
	 * Returns the address of the stand-in for the key-value service.
	 */
	public Address kvAddress() {
		return this.kv;
	}

	@Override
	public void close() {
		this.processes.values().forEach(Process::destroyForcibly);
		this.client.close();
	}

	private void awaitListening(Address address, String path) {
		await().atMost(START_TIMEOUT)
			.until(() -> this.client.exchange(address, HttpCall.of("GET", path), 1_000,
					true) instanceof Exchange.Answered answered && answered.reply().status() == 200);
	}

	private static HttpReply answered(Exchange exchange) {
		if (exchange instanceof Exchange.Answered answered) {
			return answered.reply();
		}
		throw new AssertionError("expected a reply but got " + exchange);
	}

	/**
	 * Starts this program in a process of its own, with the class path of the tests. Its
	 * output goes to a log file in the temporary folder.
	 */
	private void start(String name, String... arguments) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx48m", "-Xss256k",
						"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData",
						"--sun-misc-unsafe-memory-access=allow", "-cp", System.getProperty("java.class.path"),
						"org.citronrelay.Citronrelay"));
		command.addAll(List.of(arguments));
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.redirectErrorStream(true);
		builder.redirectOutput(this.folder.resolve(name + ".log").toFile());
		try {
			this.processes.put(name, builder.start());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Path write(String name, byte[] bytes) {
		try {
			return Files.write(this.folder.resolve(name), bytes);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Path temporaryFolder() {
		try {
			return Files.createTempDirectory("citronrelay-test");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
