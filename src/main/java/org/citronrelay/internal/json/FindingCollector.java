package org.citronrelay.internal.json;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.citronrelay.Finding;
import org.citronrelay.Findings;

/**
 * Gathers findings while a document is read.
 */
public final class FindingCollector {

	private final List<Finding> findings = new ArrayList<>();

	/**
	 * Adds a finding.
	 */
	public void add(String pointer, String value, String allowed) {
		this.findings.add(new Finding(pointer, value, allowed));
	}

	/**
	 * The value when nothing was found, else all findings.
	 */
	public <T> Either<Findings, T> outcome(T value) {
		return this.findings.isEmpty() ? Either.right(value) : Either.left(findings());
	}

	/**
	 * What was found so far.
	 */
	public Findings findings() {
		return new Findings(this.findings);
	}

}
