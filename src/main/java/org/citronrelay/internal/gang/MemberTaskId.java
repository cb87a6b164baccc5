package org.citronrelay.internal.gang;

import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Option;

/**
 * The id of the task of one member. It includes the size of the gang, so the reports of
 * all workers are enough to tell which gangs are complete.
 *
 * @param job the id of the job
 * @param attempt the number of the attempt of the job
 * @param member the number of the member, from 0
 * @param members the number of members of the gang
 */
public record MemberTaskId(String job, int attempt, int member, int members) {

	private static final Pattern FORMAT = Pattern.compile("([A-Za-z0-9-]+)\\.(\\d{1,9})\\.(\\d{1,4})\\.(\\d{1,4})");

	public MemberTaskId {
		Objects.requireNonNull(job, "job");
	}

	/**
	 * Parses the text form {@code job.attempt.member.members}. Returns nothing if the
	 * text does not have this form.
	 */
	public static Option<MemberTaskId> parse(String text) {
		Matcher matcher = FORMAT.matcher(text);
		return Option.when(matcher.matches(),
				() -> new MemberTaskId(matcher.group(1), Integer.parseInt(matcher.group(2)),
						Integer.parseInt(matcher.group(3)), Integer.parseInt(matcher.group(4))));
	}

	/**
	 * Returns the id of the gang, {@code job.attempt}, which all its members share.
	 */
	public String gang() {
		return this.job + "." + this.attempt;
	}

	@Override
	public String toString() {
		return this.job + "." + this.attempt + "." + this.member + "." + this.members;
	}

}
