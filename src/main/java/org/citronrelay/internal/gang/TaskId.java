package org.citronrelay.internal.gang;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Option;

/**
 * The id of the task of one member. It tells the size of the gang, so that whoever sees
 * the tasks of all workers can tell which gangs are whole.
 *
 * @param job the id of the job
 * @param attempt the number of the attempt
 * @param member the number of the member
 * @param members how many members the gang has
 */
public record TaskId(String job, int attempt, int member, int members) {

	private static final Pattern FORM = Pattern.compile("([A-Za-z0-9-]+)\\.(\\d{1,9})\\.(\\d{1,4})\\.(\\d{1,4})");

	public TaskId {
		Objects.requireNonNull(job, "job");
	}

	/**
	 * Reads the written form, nothing if it is not of this system.
	 */
	public static Option<TaskId> parse(String text) {
		Matcher matcher = FORM.matcher(text);
		return Option.when(matcher.matches(), () -> new TaskId(matcher.group(1), Integer.parseInt(matcher.group(2)),
				Integer.parseInt(matcher.group(3)), Integer.parseInt(matcher.group(4))));
	}

	/**
	 * The job and attempt that all members share.
	 */
	public String gang() {
		return this.job + "." + this.attempt;
	}

	@Override
	public String toString() {
		return this.job + "." + this.attempt + "." + this.member + "." + this.members;
	}

}
