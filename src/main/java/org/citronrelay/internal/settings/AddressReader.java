package org.citronrelay.internal.settings;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.JsonCursor;

/**
 * Reads network addresses from settings. A value that is not an address is reported as a
 * finding.
 */
public final class AddressReader {

	private static final Address PLACEHOLDER = new Address("0.0.0.0", 1);

	private static final String EXPECTED = "an IP address and port, such as 10.0.0.1:8080";

	private AddressReader() {
	}

	/**
	 * Returns the address in a required field, a placeholder on error.
	 */
	public static Address read(JsonCursor cursor, String field) {
		String text = cursor.string(field);
		return Address.parse(text).getOrElse(() -> {
			if (!text.isEmpty()) {
				cursor.collector().add(cursor.pointer(field), "\"" + text + "\"", EXPECTED);
			}
			return PLACEHOLDER;
		});
	}

	/**
	 * Returns the addresses in an array field, empty if the field is missing.
	 */
	public static List<Address> readList(JsonCursor cursor, String field) {
		List<String> texts = cursor.strings(field);
		List<Address> addresses = new ArrayList<>();
		for (int index = 0; index < texts.size(); index++) {
			String pointer = cursor.pointer(field) + "/" + index;
			String text = texts.get(index);
			Address.parse(text)
				.peek(addresses::add)
				.onEmpty(() -> cursor.collector().add(pointer, "\"" + text + "\"", EXPECTED));
		}
		return addresses;
	}

}
