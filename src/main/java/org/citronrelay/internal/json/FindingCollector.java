package org.citronrelay.internal.json;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.citronrelay.Finding;
import org.citronrelay.Findings;

/**
 * Collects findings while a document is read.
 */
public final class FindingCollector {

	private final List<Finding> findings = new ArrayList<>();

	/**
	 * Adds a finding.
	 * @param pointer the JSON pointer of the value in error
	 * @param value the value found
	 * @param allowed what is allowed instead
	 */
	public void add(String pointer, String value, String allowed) {
		this.findings.add(new Finding(pointer, value, allowed));
	}

	/**
	 * Returns the value if there are no findings, otherwise the findings.
	 */
	public <T> Either<Findings, T> toEither(T value) {
		return this.findings.isEmpty() ? Either.right(value) : Either.left(findings());
	}

	/**
	 * Returns the findings collected so far.
	 */
	public Findings findings() {
		return new Findings(this.findings);
	}

}
