package org.citronrelay;

import org.citronrelay.internal.cli.Program;
import org.citronrelay.internal.logging.LogSetup;

/**
 * The main class of the command line program.
 *
 * <pre>
 * citronrelay entry --settings entry.json
 * </pre>
 */
public final class Citronrelay {

	private Citronrelay() {
	}

	/**
	 * Runs a command and ends the process with its exit code.
	 * @param arguments the command and its options
	 */
	public static void main(String[] arguments) {
		LogSetup.routeJavaUtilLogging();
		int code = new Program(System.out, System.err).run(arguments);
		System.out.flush();
		Runtime.getRuntime().halt(code);
	}

}
