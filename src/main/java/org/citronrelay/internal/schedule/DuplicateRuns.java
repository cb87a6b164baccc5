package org.citronrelay.internal.schedule;

/**
 * Reports tasks that are started again, and tasks that run twice.
 */
final class DuplicateRuns {

	private final VmRegistry vms;

	private final Outbox outbox;

	DuplicateRuns(VmRegistry vms, Outbox outbox) {
		this.vms = vms;
		this.outbox = outbox;
	}

	/**
	 * Reports that the recorded run of a task is started, if the task had a run before.
	 */
	void starting(TaskState task, VmState vm, Moment now) {
		if (task.over != null) {
			this.outbox.add(new Effect.StartedAgain(task.id(), task.run, task.vm, vm.registration.boot(), task.over,
					task.over.ageMs(now)));
		}
	}

	/**
	 * Reports runs of a task that VMs listed as orphaned before its recorded run was
	 * known to run.
	 */
	void started(TaskState task, Moment now) {
		for (VmState vm : this.vms.all()) {
			if (!vm.orphanedRuns.isEmpty() && !this.vms.leaseLapsed(vm, now)) {
				vm.orphanedRuns.values()
					.stream()
					.filter((orphan) -> orphan.task().equals(task.id()))
					.forEach((orphan) -> orphanListed(task, vm, orphan, now));
			}
		}
	}

	/**
	 * Reports that a VM lists a run of a task of which another one is known to run.
	 */
	void orphanListed(TaskState task, VmState vm, OrphanedRun orphan, Moment now) {
		VmState recordedVm = this.vms.find(task.vm);
		if (!task.knownToRun() || recordedVm == null) {
			return;
		}
		RunSighting sighting = RunSighting.unrecorded(orphan.run(), vm, RunSighting.ORPHANED, orphan.listedSince(),
				now);
		if (task.overlapsReported.add(sighting.vm() + "#" + sighting.boot() + "#" + sighting.run())) {
			RunOver over = task.earlierRun(orphan.run(), vm);
			this.outbox.add(new Effect.RunsOverlap(task.id(), sighting, RunSighting.recorded(task, recordedVm, now),
					over, over.ageMs(now)));
		}
	}

	/**
	 * Reports that a run of a task has succeeded after the task was placed again.
	 */
	void doneListed(TaskState task, VmState vm, long run, Moment now) {
		VmState recordedVm = this.vms.find(task.vm);
		if (!task.phase.occupiesCapacity() || recordedVm == null) {
			return;
		}
		RunOver over = task.earlierRun(run, vm);
		this.outbox.add(new Effect.SupersededRunDone(task.id(),
				RunSighting.unrecorded(run, vm, RunSighting.DONE, now.monotonicMs(), now),
				RunSighting.recorded(task, recordedVm, now), over, over.ageMs(now)));
	}

}
