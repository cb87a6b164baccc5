package org.citronrelay.internal.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.LoggerFactory;
import org.slf4j.bridge.SLF4JBridgeHandler;

/**
 * Sets up Logback by the settings of the process.
 */
public final class LogSetup {

	private static final String STANDARD_OUTPUT = "System.out";

	/** How many lines may wait for a slow reader; further ones are dropped. */
	private static final int WAITING_LINES = 4_096;

	private LogSetup() {
	}

	/**
	 * Sends the logs of libraries that use {@code java.util.logging} the same way, from
	 * warnings on.
	 */
	public static void bridge() {
		SLF4JBridgeHandler.removeHandlersForRootLogger();
		SLF4JBridgeHandler.install();
		java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.WARNING);
	}

	/**
	 * Sets the least level that is written.
	 */
	public static void level(String level) {
		root().setLevel(Level.toLevel(level));
	}

	/**
	 * Writes each line as JSON. A reader that does not read blocks nobody: lines are
	 * dropped, those of informative level first.
	 */
	public static void json() {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		JsonEncoder encoder = new JsonEncoder();
		encoder.setContext(context);
		encoder.setWithFormattedMessage(true);
		encoder.setWithMessage(false);
		encoder.setWithArguments(false);
		encoder.setWithContext(false);
		encoder.setWithSequenceNumber(false);
		encoder.start();
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setContext(context);
		appender.setTarget(STANDARD_OUTPUT);
		appender.setEncoder(encoder);
		appender.start();
		AsyncAppender queue = new AsyncAppender();
		queue.setContext(context);
		queue.setQueueSize(WAITING_LINES);
		queue.setNeverBlock(true);
		queue.addAppender(appender);
		queue.start();
		root().detachAndStopAllAppenders();
		root().addAppender(queue);
	}

	private static Logger root() {
		return (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
	}

}
