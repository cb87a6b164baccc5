package org.citronrelay.internal.batch;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/**
 * Short digests of jobs, which tell jobs under the same id apart once their records were
 * removed.
 */
public final class JobDigest {

	private static final int BYTES = 8;

	private JobDigest() {
	}

	/**
	 * Returns the digest of what the caller submitted, without the time of acceptance.
	 */
	public static String of(BatchJob job) {
		BatchJob submitted = new BatchJob(job.id(), job.queue(), job.team(), job.payload(), job.steps(), job.repeat(),
				0);
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(JobCodec.encode(submitted));
			return HexFormat.of().formatHex(Arrays.copyOf(digest, BYTES));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
