package org.citronrelay.internal.cli;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citronrelay.internal.build.BuildInfo;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.platform.HttpVmList;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.standin.StandInKv;
import org.citronrelay.internal.standin.StandInVmList;
import org.citronrelay.internal.standin.StandInWorker;
import org.citronrelay.internal.time.Ticker;

/**
 * Commands that run a stand-in for a service of the platform in a separate process, for
 * tests. Stand-ins have no access control; they listen on loopback only.
 */
final class StandInCommands {

	private static final String LISTEN = "listen";

	private static final String VMS = "vms";

	private static final String LOOPBACK_PREFIX = "127.";

	private final PrintStream out;

	StandInCommands(PrintStream out) {
		this.out = out;
	}

	List<Command> commands() {
		return List.of(
				new Command("standin kv", "", "Runs a stand-in for the key-value service.",
						new Options().addOption(listenOption()), this::kv),
				new Command("standin vmlist", "", "Runs a stand-in for the VM list.",
						new Options().addOption(listenOption())
							.addOption(Flags.required(VMS, "FILE", "The VMs in JSON, in the format of the VM list."))
							.addOption(Flags.optional("lag-ms", "MS",
									"After how many milliseconds a change becomes visible; by default 0.")),
						this::vmList),
				new Command("standin worker", "", "Runs a stand-in for a worker.",
						new Options().addOption(Flags.required(VMS, "FILE", "The VMs in JSON."))
							.addOption(Flags.required("id", "ID", "The id of the VM in FILE to run."))
							.addOption(Flags.optional("service-ms", "MS",
									"How many milliseconds a request takes; by default 5."))
							.addOption(Flags.optional("time-percent", "N",
									"The percentage of their declared run time that tasks take; by default 100.")),
						this::worker));
	}

	private int kv(CommandLine line) throws UsageException {
		new StandInKv(requireLoopback(Flags.address(line, LISTEN)), Ticker.system());
		return runUntilStopped("key-value service");
	}

	private int vmList(CommandLine line) throws UsageException {
		List<Vm> vms = HttpVmList.fromJson(readVmsFile(line));
		new StandInVmList(requireLoopback(Flags.address(line, LISTEN)), vms, Flags.number(line, "lag-ms", 0),
				Ticker.system());
		return runUntilStopped("VM list");
	}

	private int worker(CommandLine line) throws UsageException {
		String id = line.getOptionValue("id");
		Vm vm = HttpVmList.fromJson(readVmsFile(line))
			.stream()
			.filter((candidate) -> candidate.id().equals(id))
			.findFirst()
			.orElseThrow(() -> new UsageException("no VM in the file has the id \"" + id + "\".", "Check --id."));
		requireLoopback(vm.address());
		new StandInWorker(vm, Flags.number(line, "service-ms", 5), Flags.number(line, "time-percent", 100) / 100.0,
				Ticker.system());
		return runUntilStopped("worker " + id);
	}

	private int runUntilStopped(String role) {
		this.out.println("Running the stand-in for the " + role + ", version " + BuildInfo.ofThisProcess() + ".");
		this.out.flush();
		try {
			Thread.currentThread().join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return 0;
	}

	private static JsonNode readVmsFile(CommandLine line) throws UsageException {
		return Json.parse(Flags.readFile(line, VMS))
			.getOrElseThrow((findings) -> new UsageException("--vms: " + findings.text(), "Correct the file."));
	}

	private static Address requireLoopback(Address address) throws UsageException {
		if (!address.host().startsWith(LOOPBACK_PREFIX)) {
			throw new UsageException("a stand-in listens on loopback only, not on " + address + ".",
					"Use an address that starts with 127.");
		}
		return address;
	}

	private static org.apache.commons.cli.Option listenOption() {
		return Flags.required(LISTEN, "HOST:PORT", "The address to listen on.");
	}

}
