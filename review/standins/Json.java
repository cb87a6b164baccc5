import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles, booleans and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		Json json = new Json(text);
		Object value = json.value();
		json.blank();
		if (json.at != text.length()) {
			throw new IllegalArgumentException("text after the value");
		}
		return value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) parse(text);
	}

	static Map<String, Object> of(Object... pairs) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int i = 0; i < pairs.length; i += 2) {
			map.put((String) pairs[i], pairs[i + 1]);
		}
		return map;
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(out, value);
		return out.toString();
	}

	private static void write(StringBuilder out, Object value) {
		if (value instanceof Map<?, ?> map) {
			String comma = "";
			out.append('{');
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(comma);
				write(out, entry.getKey());
				out.append(':');
				write(out, entry.getValue());
				comma = ",";
			}
			out.append('}');
		}
		else if (value instanceof Iterable<?> items) {
			String comma = "";
			out.append('[');
			for (Object item : items) {
				out.append(comma);
				write(out, item);
				comma = ",";
			}
			out.append(']');
		}
		else if (value instanceof String string) {
			out.append('"');
			for (char c : string.toCharArray()) {
				if (c == '"' || c == '\\') {
					out.append('\\').append(c);
				}
				else if (c < ' ') {
					out.append(String.format("\\u%04x", (int) c));
				}
				else {
					out.append(c);
				}
			}
			out.append('"');
		}
		else {
			out.append(value);
		}
	}

	private void blank() {
		while (this.at < this.text.length() && this.text.charAt(this.at) <= ' ') {
			this.at++;
		}
	}

	private Object value() {
		blank();
		char c = this.text.charAt(this.at);
		if (c == '{') {
			Map<String, Object> map = new LinkedHashMap<>();
			this.at++;
			blank();
			while (this.text.charAt(this.at) != '}') {
				String key = (String) value();
				blank();
				this.at++;
				map.put(key, value());
				blank();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
					blank();
				}
			}
			this.at++;
			return map;
		}
		if (c == '[') {
			List<Object> list = new ArrayList<>();
			this.at++;
			blank();
			while (this.text.charAt(this.at) != ']') {
				list.add(value());
				blank();
				if (this.text.charAt(this.at) == ',') {
					this.at++;
					blank();
				}
			}
			this.at++;
			return list;
		}
		if (c == '"') {
			return string();
		}
		int from = this.at;
		while (this.at < this.text.length() && ",]} \t\r\n".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(from, this.at);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
		};
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c == '\\') {
				c = this.text.charAt(this.at++);
				switch (c) {
					case 'n' -> out.append('\n');
					case 't' -> out.append('\t');
					case 'r' -> out.append('\r');
					case 'b' -> out.append('\b');
					case 'f' -> out.append('\f');
					case 'u' -> {
						out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
						this.at += 4;
					}
					default -> out.append(c);
				}
			}
			else {
				out.append(c);
			}
		}
		this.at++;
		return out.toString();
	}

}
