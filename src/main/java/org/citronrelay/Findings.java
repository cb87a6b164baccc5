package org.citronrelay;

import java.util.List;
import java.util.stream.Collectors;

/**
 * All errors found in one input document, reported together.
 *
 * @param list the findings in the order in which they were found
 */
public record Findings(List<Finding> list) {

	public Findings {
		list = List.copyOf(list);
	}

	/**
	 * Returns a single finding as findings.
	 */
	public static Findings of(String pointer, String value, String allowed) {
		return new Findings(List.of(new Finding(pointer, value, allowed)));
	}

	/**
	 * Whether there are no findings.
	 */
	public boolean isEmpty() {
		return this.list.isEmpty();
	}

	/**
	 * Returns the findings as text, one line each; empty if there are none.
	 */
	public String text() {
		return this.list.stream().map(Finding::line).collect(Collectors.joining("\n"));
	}

}
