package org.citronrelay.internal.admission;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Limits the requests in progress to a number of slots and grants free slots to the most
 * important service class first.
 *
 * <p>
 * Within a class the newest request gets the slot: under overload the callers of the
 * oldest requests are about to time out. The queue is bounded; when it is full, the
 * request of the least important class that has waited longest is refused at once.
 */
public final class SlotLimiter {

	private final int maxWaiting;

	private final TreeSet<Waiter> waiting = new TreeSet<>(Comparator.comparingInt(Waiter::priority)
		.thenComparing(Comparator.comparingLong(Waiter::sequence).reversed()));

	private int slots;

	private int used;

	private long nextSequence;

	public SlotLimiter(int slots, int maxWaiting) {
		this.slots = slots;
		this.maxWaiting = maxWaiting;
	}

	/**
	 * Changes the number of slots. Slots in use are not revoked, also when they exceed
	 * the new number.
	 */
	public synchronized void resize(int newSlots) {
		this.slots = newSlots;
		grantNext();
	}

	/**
	 * Acquires a slot and waits for one if none is free.
	 * @param priority the priority of the service class; 0 is the most important
	 * @param waitMs the longest wait, in milliseconds; 0 or less does not wait
	 * @return whether a slot was acquired; if so, the caller must call {@link #release()}
	 */
	public boolean acquire(int priority, long waitMs) {
		Waiter waiter;
		synchronized (this) {
			if (this.used < this.slots && this.waiting.isEmpty()) {
				this.used++;
				return true;
			}
			waiter = new Waiter(priority, this.nextSequence++, new CompletableFuture<>());
			if (waitMs <= 0 || !enqueue(waiter)) {
				return false;
			}
		}
		return await(waiter, waitMs);
	}

	/**
	 * Releases a slot.
	 */
	public synchronized void release() {
		this.used--;
		grantNext();
	}

	/**
	 * Returns the number of slots in use.
	 */
	public synchronized int used() {
		return this.used;
	}

	/**
	 * Returns the number of requests that wait for a slot.
	 */
	public synchronized int waiting() {
		return this.waiting.size();
	}

	private boolean enqueue(Waiter waiter) {
		this.waiting.add(waiter);
		if (this.waiting.size() <= this.maxWaiting) {
			return true;
		}
		Waiter leastImportant = this.waiting.pollLast();
		leastImportant.granted().complete(false);
		return leastImportant != waiter;
	}

	private boolean await(Waiter waiter, long waitMs) {
		try {
			return waiter.granted().get(waitMs, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			return cancel(waiter);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			if (cancel(waiter)) {
				release();
			}
			return false;
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Removes a waiter from the queue. Returns whether a slot was granted to it in the
	 * meantime; the waiter then holds that slot.
	 */
	private synchronized boolean cancel(Waiter waiter) {
		this.waiting.remove(waiter);
		return waiter.granted().getNow(false);
	}

	private void grantNext() {
		while (this.used < this.slots && !this.waiting.isEmpty()) {
			this.used++;
			this.waiting.pollFirst().granted().complete(true);
		}
	}

	private record Waiter(int priority, long sequence, CompletableFuture<Boolean> granted) {
	}

}
