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
 * Configures Logback according to the settings of the process.
 */
public final class LogSetup {

	private static final String STANDARD_OUTPUT = "System.out";

	/**
	 * The maximum number of log events waiting to be written; further ones are dropped.
	 */
	private static final int QUEUE_CAPACITY = 4_096;

	private LogSetup() {
	}

	/**
	 * Routes {@code java.util.logging}, which some libraries use, to Logback, at WARNING
	 * and above.
	 */
	public static void routeJavaUtilLogging() {
		SLF4JBridgeHandler.removeHandlersForRootLogger();
		SLF4JBridgeHandler.install();
		java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.WARNING);
	}

	/**
	 * Sets the lowest level that is logged.
	 */
	public static void setLevel(String level) {
		root().setLevel(Level.toLevel(level));
	}

	/**
	 * Writes the log to standard output, as one JSON object per line. Threads that log
	 * are never blocked: if standard output is not read, events are dropped, those of
	 * INFO and below first.
	 */
	public static void logAsJson() {
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
		queue.setQueueSize(QUEUE_CAPACITY);
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
