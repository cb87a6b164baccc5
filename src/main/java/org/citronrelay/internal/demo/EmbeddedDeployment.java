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
 * A whole deployment in one process on loopback: stand-ins of the platform and real entry
 * processes.
 */
public final class EmbeddedDeployment implements AutoCloseable {

	/** The token of the operator of an embedded deployment. */
	public static final String OPERATOR_TOKEN = "embedded-operator";

	private static final long CALL_TIMEOUT_MS = 30_000;

	private static final int LARGEST_ANSWER_BYTES = 16 * 1024 * 1024;

	private static final long READY_STEP_MS = 50;

	private static final long READY_MOST_MS = 20_000;

	private final Ticker ticker = Ticker.system();

	private final HttpClient client = new HttpClient(LARGEST_ANSWER_BYTES);

	private final List<Vm> vms;

	private final Address kvAddress = FreeAddresses.next();

	private final StandInKv kv;

	private final StandInVmList vmList;

	private final List<StandInWorker> workers = new ArrayList<>();

	private final List<Entry> entries = new ArrayList<>();

	/**
	 * Starts everything.
	 * @param serviceMs how long a request takes at a worker, in milliseconds
	 * @param timeScale the share of the declared run time that tasks truly take
	 */
	public EmbeddedDeployment(FleetPlan plan, long serviceMs, double timeScale) {
		this.vms = plan.vms(FreeAddresses::next);
		this.kv = new StandInKv(this.kvAddress, this.ticker);
		Address vmListAddress = FreeAddresses.next();
		this.vmList = new StandInVmList(vmListAddress, this.vms, 0, this.ticker);
		this.vms.forEach((vm) -> this.workers.add(new StandInWorker(vm, serviceMs, timeScale, this.ticker)));
		for (FleetPlan.DomainPlan domain : plan.domains()) {
			for (int number = 0; number < domain.entries(); number++) {
				this.entries.add(entry(domain.name(), vmListAddress));
			}
		}
		this.entries.forEach((entry) -> entry.process().start());
	}

	/**
	 * The addresses of the entry processes.
	 */
	public List<Address> addresses() {
		return this.entries.stream().map(Entry::address).toList();
	}

	/**
	 * The VMs.
	 */
	public List<Vm> vms() {
		return this.vms;
	}

	/**
	 * The stand-in workers, in the order of the VMs.
	 */
	public List<StandInWorker> workers() {
		return List.copyOf(this.workers);
	}

	/**
	 * The address of the stand-in key-value service.
	 */
	public Address kvAddress() {
		return this.kvAddress;
	}

	/**
	 * Calls an entry process.
	 * @throws IllegalStateException if it does not answer
	 */
	public HttpReply call(int entry, String token, HttpCall call) {
		Exchange exchange = this.client.exchange(addresses().get(entry),
				call.header("Authorization", "Bearer " + token), CALL_TIMEOUT_MS, true);
		if (exchange instanceof Exchange.Answered answered) {
			return answered.reply();
		}
		throw new IllegalStateException("no answer: " + exchange);
	}

	/**
	 * Applies a first catalogue and waits until every entry process is ready.
	 * @throws IllegalStateException if it is refused
	 */
	public JsonNode applyFirst(byte[] catalogue) {
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
		for (long waited = 0; waited < READY_MOST_MS; waited += READY_STEP_MS) {
			if (call(entry, "", HttpCall.of("GET", "/health/ready")).status() == 200) {
				return;
			}
			Pause.millis(READY_STEP_MS);
		}
		throw new IllegalStateException("entry process " + entry + " did not become ready");
	}

	private Entry entry(String domain, Address vmListAddress) {
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
