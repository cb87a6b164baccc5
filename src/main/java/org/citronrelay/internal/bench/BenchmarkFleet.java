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
 * Generates VMs, a catalogue and jobs for a fleet of a given size. The same seed gives
 * the same jobs.
 */
final class BenchmarkFleet {

	static final String DOMAIN = "east";

	private static final int WORKERS_PER_RACK = 8;

	private static final int ACCELERATORS_PER_VM = 8;

	private static final int ACCELERATOR_RACK_INTERVAL = 5;

	private final int workers;

	private final int teams;

	private final SplittableRandom random;

	BenchmarkFleet(int workers, int teams, long seed) {
		this.workers = workers;
		this.teams = teams;
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Returns one VM per worker. The VMs of every fifth rack have eight accelerators
	 * each, which is an average of 1.6 accelerators per worker.
	 */
	List<Vm> vms() {
		List<Vm> vms = new ArrayList<>();
		for (int number = 0; number < this.workers; number++) {
			int rack = number / WORKERS_PER_RACK;
			int accelerators = (rack % ACCELERATOR_RACK_INTERVAL == 0) ? ACCELERATORS_PER_VM : 0;
			vms.add(new Vm("vm-" + number, DOMAIN, "rack-" + rack, new Address("127.0.0.1", 1_024 + number),
					accelerators, 128, 512, 8, 60, false));
		}
		return vms;
	}

	/**
	 * Returns a catalogue in which every third team has a guarantee of four accelerators,
	 * as long as the team number is below a tenth of the number of workers.
	 */
	Catalogue catalogue() {
		List<Team> entries = new ArrayList<>();
		int guaranteeLimit = Math.min(this.teams, this.workers / ACCELERATOR_RACK_INTERVAL / 2);
		for (int number = 0; number < this.teams; number++) {
			List<Guarantee> guarantees = (number % 3 == 0 && number < guaranteeLimit)
					? List.of(new Guarantee(DOMAIN, new Shape(1, 4, 8, 16, Spread.RACK), 1)) : List.of();
			entries.add(new Team("id-" + number, "team-" + number, "office", "interactive",
					new TeamLimits(1_000, 10_000, 10_000), List.of(), guarantees));
		}
		ServiceClass serviceClass = new ServiceClass("class", "interactive", "office", 1, false, new ClassLimits(300),
				new Objective(0.99, 1_000));
		return new Catalogue("bench", new Weights(0.5, 0.5), List.of(serviceClass), entries, List.of(), List.of());
	}

	/**
	 * Returns a job of random shape: 17 of 20 jobs need no accelerators; the others have
	 * one, two or four members with one, two or four accelerators each.
	 */
	JobRecord randomJob(int number) {
		int draw = this.random.nextInt(20);
		Shape shape = (draw < 17) ? new Shape(1 + this.random.nextInt(8), 0, 8, 16, Spread.DOMAIN)
				: new Shape(1 << this.random.nextInt(3), 1 << this.random.nextInt(3), 4, 8, Spread.RACK);
		return record(number, shape);
	}

	/**
	 * Returns a job with 64 members of one accelerator each.
	 */
	JobRecord largeGang(int number) {
		return record(number, new Shape(64, 1, 4, 8, Spread.DOMAIN));
	}

	private JobRecord record(int number, Shape shape) {
		int team = this.random.nextInt(this.teams);
		Owner owner = new Owner("team-" + team, "id-" + team, "interactive", 1, false, true, Reclaim.CHECKPOINT, 3);
		return JobRecord.accepted("job-" + number, owner, new JobSpec("kind", shape, 3_600_000, "payload"), number);
	}

}
