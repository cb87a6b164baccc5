package org.citronrelay.internal.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.catalogue.CatalogueVersion;
import org.citronrelay.internal.entry.EntryProcess;
import org.citronrelay.internal.gang.DomainTimings;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.http.Exchange;
import org.citronrelay.internal.http.HttpCall;
import org.citronrelay.internal.http.HttpClient;
import org.citronrelay.internal.http.HttpLimits;
import org.citronrelay.internal.http.HttpReply;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.settings.EntrySettings;
import org.citronrelay.internal.settings.LogSettings;
import org.citronrelay.internal.standin.StandInKv;
import org.citronrelay.internal.standin.StandInVmList;
import org.citronrelay.internal.standin.StandInWorker;
import org.citronrelay.internal.time.Pause;
import org.citronrelay.internal.time.Ticker;

/**
 * A deployment within this JVM, on loopback: stand-ins for the services of the platform
 * and real entry processes.
 */
public final class EmbeddedDeployment implements AutoCloseable {

	/** The token of the operator of an embedded deployment. */
	public static final String OPERATOR_TOKEN = "embedded-operator";

	private static final long CALL_TIMEOUT_MS = 30_000;

	private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

	private static final long READY_POLL_INTERVAL_MS = 50;

	private static final long READY_TIMEOUT_MS = 20_000;

	private final Ticker ticker = Ticker.system();

	private final HttpClient client = new HttpClient(MAX_ANSWER_BYTES);

	private final List<Vm> vms;

	private final Address kvAddress = FreeAddresses.next();

	private final StandInKv kv;

	private final StandInVmList vmList;

	private final List<StandInWorker> workers = new ArrayList<>();

	private final List<Entry> entries = new ArrayList<>();

	/**
	 * Starts the stand-ins and the entry processes.
	 * @param plan the VMs and the number of entry processes in each failure domain
	 * @param serviceMs how long a request takes at a worker, in milliseconds
	 * @param timeScale the actual run time of tasks divided by the declared one
	 */
	public EmbeddedDeployment(FleetPlan plan, long serviceMs, double timeScale) {
		this.vms = plan.vms(FreeAddresses::next);
		this.kv = new StandInKv(this.kvAddress, this.ticker);
		Address vmListAddress = FreeAddresses.next();
		this.vmList = new StandInVmList(vmListAddress, this.vms, 0, this.ticker);
		this.vms.forEach((vm) -> this.workers.add(new StandInWorker(vm, serviceMs, timeScale, this.ticker)));
		for (FleetPlan.DomainPlan domain : plan.domains()) {
			for (int number = 0; number < domain.entries(); number++) {
				this.entries.add(createEntry(domain.name(), vmListAddress));
			}
		}
		this.entries.forEach((entry) -> entry.process().start());
	}

	/**
	 * Returns the addresses where the entry processes serve callers.
	 */
	public List<Address> addresses() {
		return this.entries.stream().map(Entry::address).toList();
	}

	public List<Vm> vms() {
		return this.vms;
	}

	/**
	 * Returns the stand-in workers, in the order of the VMs.
	 */
	public List<StandInWorker> workers() {
		return List.copyOf(this.workers);
	}

	/**
	 * Returns the address of the stand-in key-value service.
	 */
	public Address kvAddress() {
		return this.kvAddress;
	}

	/**
	 * Calls an entry process.
	 * @param entry its index in {@link #addresses()}
	 * @param token the token of the caller
	 * @throws IllegalStateException if it does not answer
	 */
	public HttpReply call(int entry, String token, HttpCall call) {
		Exchange exchange = this.client.exchange(addresses().get(entry),
				call.header("Authorization", "Bearer " + token), CALL_TIMEOUT_MS, true);
		if (exchange instanceof Exchange.Answered answered) {
			return answered.reply();
		}
		throw new IllegalStateException("an entry process did not answer: " + exchange);
	}

	/**
	 * Applies the first catalogue and waits until every entry process is ready.
	 * @return the answer, with the number of the version
	 * @throws IllegalStateException if the catalogue is refused or an entry process is
	 * not ready in time
	 */
	public JsonNode applyFirstCatalogue(byte[] catalogue) {
		HttpReply reply = call(0, OPERATOR_TOKEN,
				HttpCall.of("PUT", "/v1/catalogue").query("base", "0").body(catalogue));
		if (reply.status() != 200) {
			throw new IllegalStateException("the catalogue was refused: " + reply.json().toPrettyString());
		}
		for (int entry = 0; entry < this.entries.size(); entry++) {
			awaitReady(entry);
		}
		return reply.json();
	}

	@Override
	public void close() {
		this.entries.forEach((entry) -> entry.process().stop());
		this.workers.forEach(StandInWorker::close);
		this.vmList.close();
		this.kv.close();
		this.client.close();
	}

	private void awaitReady(int entry) {
		for (long waited = 0; waited < READY_TIMEOUT_MS; waited += READY_POLL_INTERVAL_MS) {
			if (call(entry, "", HttpCall.of("GET", "/health/ready")).status() == 200) {
				return;
			}
			Pause.millis(READY_POLL_INTERVAL_MS);
		}
		throw new IllegalStateException("entry process " + entry + " was not ready after " + READY_TIMEOUT_MS + " ms");
	}

	private Entry createEntry(String domain, Address vmListAddress) {
		Address address = FreeAddresses.next();
		EntrySettings settings = new EntrySettings(domain, address, FreeAddresses.next(), this.kvAddress, vmListAddress,
				1_000, 1_500, List.of(CatalogueVersion.sha256(OPERATOR_TOKEN)),
				new HttpLimits(16 * 1024, 1024 * 1024, 2_000, Duration.ofSeconds(30)), 8L * 1024 * 1024, 300,
				DomainTimings.DEFAULT, new LogSettings(LogSettings.Format.TEXT, LogSettings.Level.WARN));
		return new Entry(address, new EntryProcess(settings));
	}

	private record Entry(Address address, EntryProcess process) {
	}

}
