package org.citronrelay.internal.cluster;

/**
 * What a process knows about its way to the store. It is derived from the outcomes of
 * calls and probes alone, and is immutable.
 *
 * @param lostSince since when no way to the store has worked, in monotonic milliseconds;
 * 0 while one works
 * @param reason why the last call failed, empty while a way works
 * @param peerOutcomes the outcomes of the latest probes of peers, one bit each: 1 if the
 * peer answered, whether or not it reached the store itself
 * @param peerProbes how many of the bits are valid
 */
public record StoreReachability(long lostSince, String reason, int peerOutcomes, int peerProbes) {

	/** A way to the store works. */
	public static final StoreReachability REACHABLE = new StoreReachability(0, "", 0, 0);

	/** How many probes of peers are remembered. */
	private static final int REMEMBERED_PROBES = 6;

	/** The least number of probes from which isolation is concluded. */
	private static final int PROBES_TO_DECIDE = 4;

	/**
	 * Returns the state after a call that failed on every way.
	 */
	StoreReachability failed(String newReason, long now) {
		return new StoreReachability((this.lostSince > 0) ? this.lostSince : Math.max(1, now), newReason,
				this.peerOutcomes, this.peerProbes);
	}

	/**
	 * Returns the state after the probe of a peer.
	 * @param answered whether the peer answered at all
	 */
	StoreReachability peerProbed(boolean answered) {
		if (this.lostSince == 0) {
			return this;
		}
		int outcomes = (this.peerOutcomes << 1 | (answered ? 1 : 0)) & ((1 << REMEMBERED_PROBES) - 1);
		return new StoreReachability(this.lostSince, this.reason, outcomes,
				Math.min(REMEMBERED_PROBES, this.peerProbes + 1));
	}

	/**
	 * Whether no way to the store works.
	 */
	boolean lost() {
		return this.lostSince > 0;
	}

	/**
	 * Whether this process is cut off from the store and from most of its peers. If most
	 * peers answer, the store itself is away, and callers are no better off elsewhere.
	 */
	boolean isolated() {
		return lost() && this.peerProbes >= PROBES_TO_DECIDE
				&& 2 * Integer.bitCount(this.peerOutcomes) < this.peerProbes;
	}

}
