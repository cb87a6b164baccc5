package org.citronrelay.internal.gang;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;

/**
 * Counts the jobs that failed on each VM and quarantines a VM on which several different
 * jobs failed. A job counts only once for each VM, so a single faulty job never causes a
 * quarantine.
 *
 * @param failedJobs the ids of the jobs that failed on each VM since the last job that
 * succeeded there
 * @param quarantinedUntil the end of the quarantine of each VM, in monotonic milliseconds
 */
record VmFailures(Map<String, Set<String>> failedJobs, Map<String, Long> quarantinedUntil) {

	static final VmFailures NONE = new VmFailures(HashMap.empty(), HashMap.empty());

	private static final int FAILED_JOBS_TO_QUARANTINE = 3;

	private static final long QUARANTINE_MS = 600_000;

	/**
	 * Records that a job failed on a VM, and starts the quarantine of the VM if enough
	 * jobs have failed there.
	 * @param now the present time in monotonic milliseconds
	 */
	VmFailures failed(String vm, String job, long now) {
		Set<String> jobs = this.failedJobs.getOrElse(vm, HashSet.empty()).add(job);
		if (jobs.size() < FAILED_JOBS_TO_QUARANTINE) {
			return new VmFailures(this.failedJobs.put(vm, jobs), this.quarantinedUntil);
		}
		return new VmFailures(this.failedJobs.remove(vm), this.quarantinedUntil.put(vm, now + QUARANTINE_MS));
	}

	/**
	 * Records that a job succeeded on a VM, which resets the count of its failed jobs.
	 */
	VmFailures succeeded(String vm) {
		return this.failedJobs.containsKey(vm) ? new VmFailures(this.failedJobs.remove(vm), this.quarantinedUntil)
				: this;
	}

	boolean quarantined(String vm, long now) {
		return this.quarantinedUntil.get(vm).exists((until) -> until > now);
	}

	/**
	 * Returns the ids of the VMs in quarantine.
	 */
	java.util.Set<String> quarantinedVms(long now) {
		return this.quarantinedUntil.filterValues((until) -> until > now).keySet().toJavaSet();
	}

}
