package org.citronrelay.internal.settings;

import java.util.ArrayList;
import java.util.List;

import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.json.JsonCursor;

/**
 * Reads addresses from settings; what is none becomes a finding.
 */
public final class AddressSettings {

	private static final Address NOWHERE = new Address("0.0.0.0", 1);

	private static final String WANTED = "an IP number and port, as 10.0.0.1:8080";

	private AddressSettings() {
	}

	/**
	 * The address in a field.
	 */
	public static Address one(JsonCursor cursor, String field) {
		String text = cursor.text(field);
		return Address.parse(text).getOrElse(() -> {
			if (!text.isEmpty()) {
				cursor.collector().add(cursor.pointer(field), "\"" + text + "\"", WANTED);
			}
			return NOWHERE;
		});
	}

	/**
	 * The addresses in a field with a list, none where there is no such field.
	 */
	public static List<Address> many(JsonCursor cursor, String field) {
		List<String> texts = cursor.texts(field);
		List<Address> addresses = new ArrayList<>();
		for (int index = 0; index < texts.size(); index++) {
			String place = cursor.pointer(field) + "/" + index;
			String text = texts.get(index);
			Address.parse(text)
				.peek(addresses::add)
				.onEmpty(() -> cursor.collector().add(place, "\"" + text + "\"", WANTED));
		}
		return addresses;
	}

}
