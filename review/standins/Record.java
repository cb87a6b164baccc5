import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each thing sent, answered or run. */
final class Record {

	private static final long BEGAN = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) {
		try {
			this.out = new PrintWriter(Files.newBufferedWriter(file), true);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Milliseconds since the start of the case. */
	static long now() {
		return (System.nanoTime() - BEGAN) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.printf("%8d ms  %s%n", now(), text);
	}

	synchronized void print(String text) {
		line(text);
		System.out.println(text);
	}

}
