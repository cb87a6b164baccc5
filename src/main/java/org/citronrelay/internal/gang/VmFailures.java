package org.citronrelay.internal.gang;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;

/**
 * Which VMs fail the tasks of many jobs and are set apart. A job that fails on many VMs
 * counts once for each of them, so it alone never sets one apart.
 *
 * @param failedJobs for each VM the jobs that failed there since the last success
 * @param apartUntil until when a VM is set apart, in monotonic milliseconds
 */
record VmFailures(Map<String, Set<String>> failedJobs, Map<String, Long> apartUntil) {

	static final VmFailures NONE = new VmFailures(HashMap.empty(), HashMap.empty());

	private static final int JOBS_TO_SET_APART = 3;

	private static final long APART_MS = 600_000;

	VmFailures failed(String vm, String job, long now) {
		Set<String> jobs = this.failedJobs.getOrElse(vm, HashSet.empty()).add(job);
		if (jobs.size() < JOBS_TO_SET_APART) {
			return new VmFailures(this.failedJobs.put(vm, jobs), this.apartUntil);
		}
		return new VmFailures(this.failedJobs.remove(vm), this.apartUntil.put(vm, now + APART_MS));
	}

	VmFailures succeeded(String vm) {
		return this.failedJobs.containsKey(vm) ? new VmFailures(this.failedJobs.remove(vm), this.apartUntil) : this;
	}

	boolean apart(String vm, long now) {
		return this.apartUntil.get(vm).exists((until) -> until > now);
	}

	/**
	 * The VMs that are set apart.
	 */
	java.util.Set<String> allApart(long now) {
		return this.apartUntil.filterValues((until) -> until > now).keySet().toJavaSet();
	}

}
