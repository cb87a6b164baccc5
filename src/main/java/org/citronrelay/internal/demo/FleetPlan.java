package org.citronrelay.internal.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.citronrelay.Findings;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.FindingCollector;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.json.JsonCursor;
import org.citronrelay.internal.platform.Vm;

/**
 * The VMs of an example: how many racks of how many workers in each failure domain.
 *
 * @param domains the failure domains
 * @param worker what each worker has
 */
public record FleetPlan(List<DomainPlan> domains, WorkerPlan worker) {

	public FleetPlan {
		domains = List.copyOf(domains);
		Objects.requireNonNull(worker, "worker");
	}

	/**
	 * Reads a plan.
	 */
	public static Either<Findings, FleetPlan> read(byte[] document) {
		return Json.parse(document).flatMap((node) -> {
			FindingCollector collector = new FindingCollector();
			JsonCursor cursor = JsonCursor.root(node, collector);
			FleetPlan plan = new FleetPlan(cursor.objects("failureDomains", FleetPlan::domain),
					worker(cursor.object("worker")));
			cursor.end();
			return collector.outcome(plan);
		});
	}

	/**
	 * The VMs of the plan.
	 * @param addresses gives each VM its address
	 */
	public List<Vm> vms(Supplier<Address> addresses) {
		List<Vm> vms = new ArrayList<>();
		for (DomainPlan domain : this.domains) {
			for (int number = 0; number < domain.workers(); number++) {
				String rack = domain.name() + "-rack-" + (number / domain.workersPerRack() + 1);
				vms.add(new Vm(domain.name() + "-" + (number + 1), domain.name(), rack, addresses.get(),
						this.worker.accelerators(), this.worker.cores(), this.worker.memoryGb(), this.worker.slots(),
						this.worker.connections(), false));
			}
		}
		return vms;
	}

	private static DomainPlan domain(JsonCursor cursor) {
		DomainPlan plan = new DomainPlan(cursor.name("name"), cursor.integer("workers", 1, 1_000),
				cursor.integer("workersPerRack", 1, 1_000), cursor.integer("entries", 1, 10, 2));
		cursor.end();
		return plan;
	}

	private static WorkerPlan worker(JsonCursor cursor) {
		WorkerPlan plan = new WorkerPlan(cursor.integer("accelerators", 0, 64), cursor.integer("cores", 1, 4_096),
				cursor.integer("memoryGb", 1, 65_536), cursor.integer("slots", 0, 1_000),
				cursor.integer("connections", 1, 10_000));
		cursor.end();
		return plan;
	}

	/**
	 * One failure domain.
	 *
	 * @param name its name
	 * @param workers how many workers
	 * @param workersPerRack how many of them share a rack
	 * @param entries how many entry processes
	 */
	public record DomainPlan(String name, int workers, int workersPerRack, int entries) {
	}

	/**
	 * What each worker has.
	 *
	 * @param accelerators accelerators
	 * @param cores processor cores
	 * @param memoryGb memory, in gigabytes
	 * @param slots request slots
	 * @param connections the most connections
	 */
	public record WorkerPlan(int accelerators, int cores, int memoryGb, int slots, int connections) {
	}

}
