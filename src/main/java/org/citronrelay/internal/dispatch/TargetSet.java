package org.citronrelay.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citronrelay.internal.platform.Vm;

/**
 * An immutable snapshot of the workers that may receive requests.
 *
 * @param all the workers in this process's failure domain, followed by those in other
 * failure domains
 * @param localCount the number of workers in this process's failure domain
 */
record TargetSet(List<Target> all, int localCount) {

	static final TargetSet EMPTY = new TargetSet(List.of(), 0);

	TargetSet {
		all = List.copyOf(all);
	}

	List<Target> local() {
		return this.all.subList(0, this.localCount);
	}

	List<Target> remote() {
		return this.all.subList(this.localCount, this.all.size());
	}

	/**
	 * Returns the next snapshot. Workers of unchanged VMs keep their counters.
	 * @param avoided the ids of the VMs that receive no new requests
	 */
	TargetSet next(List<Vm> vms, Set<String> avoided, String failureDomain) {
		Map<Vm, Target> known = new HashMap<>();
		this.all.forEach((target) -> known.put(target.vm(), target));
		List<Target> newLocal = new ArrayList<>();
		List<Target> newRemote = new ArrayList<>();
		for (Vm vm : vms) {
			if (vm.draining() || vm.slots() == 0 || avoided.contains(vm.id())) {
				continue;
			}
			Target target = known.getOrDefault(vm, new Target(vm));
			(vm.failureDomain().equals(failureDomain) ? newLocal : newRemote).add(target);
		}
		int newLocalCount = newLocal.size();
		newLocal.addAll(newRemote);
		return new TargetSet(newLocal, newLocalCount);
	}

	int size() {
		return this.all.size();
	}

	int slots() {
		return this.all.stream().mapToInt((target) -> target.vm().slots()).sum();
	}

	int ejected(long now) {
		return (int) this.all.stream().filter((target) -> target.health().ejectedAt(now)).count();
	}

	double meanFailureShare() {
		double sum = 0;
		for (Target target : this.all) {
			sum += target.health().failureShare();
		}
		return this.all.isEmpty() ? 0 : sum / this.all.size();
	}

}
