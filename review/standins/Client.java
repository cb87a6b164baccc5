import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one call of a requester on a channel of its own. */
final class Client {

	private Client() {
	}

	/** Sends a call and waits for the answer; a status of 0 means none came in time. */
	static Answer call(int port, String method, String path, Object body, long timeoutMs) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), (int) timeoutMs);
			socket.setSoTimeout((int) timeoutMs);
			byte[] bytes = (body != null) ? Json.write(body).getBytes(StandardCharsets.UTF_8) : new byte[0];
			String head = method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nAuthorization: Token "
					+ Deployment.KEY_A + "\r\nX-Deadline-Ms: " + timeoutMs
					+ "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + bytes.length
					+ "\r\n\r\n";
			socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
			socket.getOutputStream().write(bytes);
			socket.getOutputStream().flush();
			return answer(new BufferedInputStream(socket.getInputStream()));
		}
		catch (IOException ex) {
			return new Answer(0, String.valueOf(ex.getMessage()));
		}
	}

	private static Answer answer(InputStream in) throws IOException {
		String status = line(in);
		if (!status.startsWith("HTTP/1.1 ")) {
			return new Answer(0, "no status line");
		}
		int length = 0;
		for (String line = line(in); !line.isEmpty(); line = line(in)) {
			if (line.toLowerCase().startsWith("content-length:")) {
				length = Integer.parseInt(line.substring("content-length:".length()).trim());
			}
		}
		return new Answer(Integer.parseInt(status.split(" ")[1]),
				new String(in.readNBytes(length), StandardCharsets.UTF_8));
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
			if (next != '\r') {
				out.write(next);
			}
		}
		return out.toString(StandardCharsets.UTF_8);
	}

	record Answer(int status, String body) {

		boolean accepted() {
			return this.status >= 200 && this.status < 300;
		}

		@Override
		public String toString() {
			return (this.status == 0) ? "no answer (" + this.body + ")" : this.status + " " + this.body;
		}

	}

}
