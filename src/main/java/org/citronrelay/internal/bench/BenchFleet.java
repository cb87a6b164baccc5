package org.citronrelay.internal.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.citronrelay.Catalogue;
import org.citronrelay.Catalogue.Weights;
import org.citronrelay.CatalogueEntry.ClassLimits;
import org.citronrelay.CatalogueEntry.Objective;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.CatalogueEntry.TeamLimits;
import org.citronrelay.Guarantee;
import org.citronrelay.JobSpec;
import org.citronrelay.Reclaim;
import org.citronrelay.Shape;
import org.citronrelay.Spread;
import org.citronrelay.internal.gang.JobRecord;
import org.citronrelay.internal.gang.JobRecord.Owner;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.platform.Vm;

/**
 * Fleets, catalogues and jobs of a given size, by a seed.
 */
final class BenchFleet {

	static final String DOMAIN = "east";

	private static final int WORKERS_PER_RACK = 8;

	private static final int ACCELERATORS = 8;

	private static final int EVERY = 5;

	private final int workers;

	private final int teams;

	private final SplittableRandom random;

	BenchFleet(int workers, int teams, long seed) {
		this.workers = workers;
		this.teams = teams;
		this.random = new SplittableRandom(seed);
	}

	/**
	 * The VMs: one rack in five has accelerators, 1.6 for each worker of the fleet.
	 */
	List<Vm> vms() {
		List<Vm> vms = new ArrayList<>();
		for (int number = 0; number < this.workers; number++) {
			int rack = number / WORKERS_PER_RACK;
			int accelerators = (rack % EVERY == 0) ? ACCELERATORS : 0;
			vms.add(new Vm("vm-" + number, DOMAIN, "rack-" + rack, new Address("127.0.0.1", 1_024 + number),
					accelerators, 128, 512, 8, 60, false));
		}
		return vms;
	}

	/**
	 * The catalogue: every third team has a guarantee of four accelerators.
	 */
	Catalogue catalogue() {
		List<Team> entries = new ArrayList<>();
		int guaranteed = Math.min(this.teams, this.workers / EVERY / 2);
		for (int number = 0; number < this.teams; number++) {
			List<Guarantee> guarantees = (number % 3 == 0 && number < guaranteed)
					? List.of(new Guarantee(DOMAIN, new Shape(1, 4, 8, 16, Spread.RACK), 1)) : List.of();
			entries.add(new Team("id-" + number, "team-" + number, "office", "interactive",
					new TeamLimits(1_000, 10_000, 10_000), List.of(), guarantees));
		}
		ServiceClass serviceClass = new ServiceClass("class", "interactive", "office", 1, false, new ClassLimits(300),
				new Objective(0.99, 1_000));
		return new Catalogue("bench", new Weights(0.5, 0.5), List.of(serviceClass), entries, List.of(), List.of());
	}

	/**
	 * A job: most need cores only, some need accelerators, few are large.
	 */
	JobRecord job(int number) {
		int kind = this.random.nextInt(20);
		Shape shape = (kind < 17) ? new Shape(1 + this.random.nextInt(8), 0, 8, 16, Spread.DOMAIN)
				: new Shape(1 << this.random.nextInt(3), 1 << this.random.nextInt(3), 4, 8, Spread.RACK);
		return record(number, shape);
	}

	/**
	 * A gang of 64 members.
	 */
	JobRecord largest(int number) {
		return record(number, new Shape(64, 1, 4, 8, Spread.DOMAIN));
	}

	private JobRecord record(int number, Shape shape) {
		int team = this.random.nextInt(this.teams);
		Owner owner = new Owner("team-" + team, "id-" + team, "interactive", 1, false, true, Reclaim.CHECKPOINT, 3);
		return JobRecord.accepted("job-" + number, owner, new JobSpec("kind", shape, 3_600_000, "payload"), number);
	}

}
