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
 * Describes the deployment of an example: the workers, their racks and the entry
 * processes of each failure domain.
 *
 * @param domains the failure domains
 * @param worker the resources of each worker
 */
public record FleetPlan(List<DomainPlan> domains, WorkerPlan worker) {

	public FleetPlan {
		domains = List.copyOf(domains);
		Objects.requireNonNull(worker, "worker");
	}

	/**
	 * Reads a plan in JSON.
	 * @return the plan, or every error found in the document
	 */
	public static Either<Findings, FleetPlan> read(byte[] document) {
		return Json.parse(document).flatMap((node) -> {
			FindingCollector collector = new FindingCollector();
			JsonCursor cursor = JsonCursor.root(node, collector);
			FleetPlan plan = new FleetPlan(cursor.objects("failureDomains", FleetPlan::readDomain),
					readWorker(cursor.object("worker")));
			cursor.rejectUnknownFields();
			return collector.toEither(plan);
		});
	}

	/**
	 * Returns the VMs of the plan, with generated ids and rack names.
	 * @param addresses supplies the address of each VM
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

	private static DomainPlan readDomain(JsonCursor cursor) {
		DomainPlan plan = new DomainPlan(cursor.name("name"), cursor.integer("workers", 1, 1_000),
				cursor.integer("workersPerRack", 1, 1_000), cursor.integer("entries", 1, 10, 2));
		cursor.rejectUnknownFields();
		return plan;
	}

	private static WorkerPlan readWorker(JsonCursor cursor) {
		WorkerPlan plan = new WorkerPlan(cursor.integer("accelerators", 0, 64), cursor.integer("cores", 1, 4_096),
				cursor.integer("memoryGb", 1, 65_536), cursor.integer("slots", 0, 1_000),
				cursor.integer("connections", 1, 10_000));
		cursor.rejectUnknownFields();
		return plan;
	}

	/**
	 * The plan of one failure domain.
	 *
	 * @param name the name of the failure domain
	 * @param workers the number of workers
	 * @param workersPerRack the number of workers that share a rack
	 * @param entries the number of entry processes
	 */
	public record DomainPlan(String name, int workers, int workersPerRack, int entries) {
	}

	/**
	 * The resources of each worker.
	 *
	 * @param accelerators the number of accelerators
	 * @param cores the number of processor cores
	 * @param memoryGb memory, in gigabytes
	 * @param slots how many requests it serves concurrently
	 * @param connections the limit of open connections
	 */
	public record WorkerPlan(int accelerators, int cores, int memoryGb, int slots, int connections) {
	}

}
