package org.citronrelay.internal.schedule;

import org.citronrelay.internal.batch.Resources;

/**
 * The room of one VM while one round of placing goes on.
 */
final class Room {

	final VmState vm;

	/** What can be used now. */
	Resources free;

	/** What can be used once everything that is being stopped has ended. */
	Resources soon;

	Room(VmState vm) {
		this.vm = vm;
		this.free = vm.free();
		this.soon = this.free;
		for (TaskState task : vm.tasks) {
			if (task.phase == TaskPhase.STOPPING) {
				this.soon = this.soon.plus(task.needs());
			}
		}
		for (Resources stray : vm.strays.values()) {
			this.soon = this.soon.plus(stray);
		}
	}

	String rack() {
		return this.vm.report.rack();
	}

	void take(Resources needs) {
		this.free = this.free.minus(needs);
		this.soon = this.soon.minus(needs);
	}

}
