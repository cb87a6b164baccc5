package org.citronrelay.internal.build;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Try;
import org.citronrelay.internal.logging.Part;

/**
 * Identifies the program that runs. Builds are reproducible, so the same sources, built
 * with the same JDK, give the same digest.
 *
 * @param version the version of the project
 * @param digest the first 12 hexadecimal digits of the SHA-256 digest of the program
 * file, {@link #UNPACKAGED} or {@link #UNREADABLE}
 */
public record BuildInfo(String version, String digest) {

	/** Stands for the version and the digest of a program that runs from class files. */
	public static final String UNPACKAGED = "unpackaged";

	/** Stands for the digest of a program file that cannot be read. */
	public static final String UNREADABLE = "unreadable";

	private static final int DIGITS = 12;

	public BuildInfo {
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(digest, "digest");
	}

	/**
	 * Reads the program file of this process.
	 */
	public static BuildInfo ofThisProcess() {
		String version = BuildInfo.class.getPackage().getImplementationVersion();
		String digest = Try.of(() -> digest(programFile()))
			.onFailure((ex) -> Part.ENTRY.logger()
				.warn("The program file cannot be read; this process does not know its build.", ex))
			.getOrElse(UNREADABLE);
		return new BuildInfo((version != null) ? version : UNPACKAGED, digest);
	}

	/**
	 * Returns the digest of a program.
	 * @param program the program file, or the folder of its classes
	 */
	static String digest(Path program) throws IOException, NoSuchAlgorithmException {
		if (Files.isDirectory(program)) {
			return UNPACKAGED;
		}
		MessageDigest digest = MessageDigest.getInstance("SHA-256");
		try (DigestInputStream content = new DigestInputStream(Files.newInputStream(program), digest)) {
			content.transferTo(OutputStream.nullOutputStream());
		}
		return HexFormat.of().formatHex(digest.digest()).substring(0, DIGITS);
	}

	/**
	 * Registers a gauge that is always 1 and has the version and the digest as tags.
	 */
	public void register(MeterRegistry registry) {
		Gauge.builder("citronrelay.build", () -> 1)
			.tag("version", this.version)
			.tag("build", this.digest)
			.register(registry);
	}

	@Override
	public String toString() {
		return this.version + " (build " + this.digest + ")";
	}

	private static Path programFile() throws URISyntaxException {
		return Path.of(BuildInfo.class.getProtectionDomain().getCodeSource().getLocation().toURI());
	}

}
