package org.citronrelay.internal.admission;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Hands out slots, the most important class first, and answers early when the wait would
 * be too long.
 *
 * <p>
 * Within a class the newest request goes first: under overload the oldest ones have
 * callers that are about to give up. The queue is bounded; a more important request
 * pushes out the least important one.
 */
public final class SlotGate {

	private final int mostWaiting;

	private final TreeSet<Waiter> waiting = new TreeSet<>(Comparator.comparingInt(Waiter::priority)
		.thenComparing(Comparator.comparingLong(Waiter::number).reversed()));

	private int slots;

	private int used;

	private long nextNumber;

	public SlotGate(int slots, int mostWaiting) {
		this.slots = slots;
		this.mostWaiting = mostWaiting;
	}

	/**
	 * Changes the number of slots; those in use stay.
	 */
	public synchronized void resize(int newSlots) {
		this.slots = newSlots;
		wakeNext();
	}

	/**
	 * Takes a slot, waiting for one if there is none.
	 * @param priority the rank of the class, 0 goes first
	 * @param waitMs how long to wait, in milliseconds
	 * @return whether a slot was taken
	 */
	public boolean enter(int priority, long waitMs) {
		Waiter waiter;
		synchronized (this) {
			if (this.used < this.slots && this.waiting.isEmpty()) {
				this.used++;
				return true;
			}
			waiter = new Waiter(priority, this.nextNumber++, new CompletableFuture<>());
			if (waitMs <= 0 || !enqueue(waiter)) {
				return false;
			}
		}
		return await(waiter, waitMs);
	}

	/**
	 * Gives a slot back.
	 */
	public synchronized void leave() {
		this.used--;
		wakeNext();
	}

	/**
	 * The slots in use.
	 */
	public synchronized int used() {
		return this.used;
	}

	/**
	 * The requests that wait.
	 */
	public synchronized int waiting() {
		return this.waiting.size();
	}

	private boolean enqueue(Waiter waiter) {
		this.waiting.add(waiter);
		if (this.waiting.size() <= this.mostWaiting) {
			return true;
		}
		Waiter least = this.waiting.pollLast();
		least.granted().complete(false);
		return least != waiter;
	}

	private boolean await(Waiter waiter, long waitMs) {
		try {
			return waiter.granted().get(waitMs, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return giveUp(waiter);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			if (giveUp(waiter)) {
				leave();
			}
			return false;
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Leaves the queue; a slot that was granted in the same moment is kept.
	 */
	private synchronized boolean giveUp(Waiter waiter) {
		this.waiting.remove(waiter);
		return waiter.granted().getNow(false);
	}

	private void wakeNext() {
		while (this.used < this.slots && !this.waiting.isEmpty()) {
			this.used++;
			this.waiting.pollFirst().granted().complete(true);
		}
	}

	private record Waiter(int priority, long number, CompletableFuture<Boolean> granted) {
	}

}
