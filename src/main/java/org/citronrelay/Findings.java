package org.citronrelay;

import java.util.List;
import java.util.stream.Collectors;

/**
 * All faults found in one input, reported together.
 *
 * @param list the findings in the order of the document
 */
public record Findings(List<Finding> list) {

	public Findings {
		list = List.copyOf(list);
	}

	/**
	 * A report with a single finding.
	 */
	public static Findings of(String pointer, String value, String allowed) {
		return new Findings(List.of(new Finding(pointer, value, allowed)));
	}

	/**
	 * Whether nothing was found.
	 */
	public boolean isEmpty() {
		return this.list.isEmpty();
	}

	/**
	 * The findings as text, one line each.
	 */
	public String text() {
		return this.list.stream().map(Finding::line).collect(Collectors.joining("\n"));
	}

}
