package org.citronrelay.internal.cli;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.platform.HttpVmList;
import org.citronrelay.internal.platform.Vm;
import org.citronrelay.internal.standin.StandInKv;
import org.citronrelay.internal.standin.StandInVmList;
import org.citronrelay.internal.standin.StandInWorker;
import org.citronrelay.internal.time.Ticker;

/**
 * The stand-ins of the platform, each a process of its own, on loopback only.
 */
final class StandInCommands {

	private static final String LISTEN = "listen";

	private static final String VMS = "vms";

	private static final String LOOPBACK = "127.";

	private final PrintStream out;

	StandInCommands(PrintStream out) {
		this.out = out;
	}

	List<Command> commands() {
		return List.of(
				new Command("standin kv", "", "Runs a stand-in of the key-value service.",
						new Options().addOption(listen()), this::kv),
				new Command("standin vmlist", "", "Runs a stand-in of the VM list.",
						new Options().addOption(listen())
							.addOption(Flags.required(VMS, "FILE", "The VMs in JSON, as the list gives them."))
							.addOption(Flags.optional("lag-ms", "MS", "How long a change takes to show.")),
						this::vmList),
				new Command("standin worker", "", "Runs a stand-in of a worker.",
						new Options().addOption(Flags.required(VMS, "FILE", "The VMs in JSON."))
							.addOption(Flags.required("id", "ID", "Which of them this is."))
							.addOption(Flags.optional("service-ms", "MS", "How long a request takes."))
							.addOption(Flags.optional("time-percent", "N",
									"The percentage of the declared run time that tasks take.")),
						this::worker));
	}

	private int kv(CommandLine line) throws UsageException {
		new StandInKv(loopback(Flags.address(line, LISTEN)), Ticker.system());
		return serve("key-value service");
	}

	private int vmList(CommandLine line) throws UsageException {
		List<Vm> vms = HttpVmList.fromJson(parsed(line));
		new StandInVmList(loopback(Flags.address(line, LISTEN)), vms, Flags.number(line, "lag-ms", 0), Ticker.system());
		return serve("VM list");
	}

	private int worker(CommandLine line) throws UsageException {
		String id = line.getOptionValue("id");
		Vm vm = HttpVmList.fromJson(parsed(line))
			.stream()
			.filter((candidate) -> candidate.id().equals(id))
			.findFirst()
			.orElseThrow(() -> new UsageException("no VM of the file has the id \"" + id + "\".", "Check --id."));
		loopback(vm.address());
		new StandInWorker(vm, Flags.number(line, "service-ms", 5), Flags.number(line, "time-percent", 100) / 100.0,
				Ticker.system());
		return serve("worker " + id);
	}

	private int serve(String what) {
		this.out.println("Serves as " + what + ".");
		this.out.flush();
		try {
			Thread.currentThread().join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return 0;
	}

	private static JsonNode parsed(CommandLine line) throws UsageException {
		return Json.parse(Flags.file(line, VMS))
			.getOrElseThrow((findings) -> new UsageException("--vms: " + findings.text(), "Mend the file."));
	}

	private static Address loopback(Address address) throws UsageException {
		if (!address.host().startsWith(LOOPBACK)) {
			throw new UsageException("a stand-in listens on loopback only, not on " + address + ".",
					"Use an address that begins with 127.");
		}
		return address;
	}

	private static org.apache.commons.cli.Option listen() {
		return Flags.required(LISTEN, "HOST:PORT", "Where it listens.");
	}

}
