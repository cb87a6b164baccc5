package org.citronrelay.internal.platform;

import java.util.Objects;

/**
 * One value of the key-value service.
 *
 * @param key the key
 * @param value the value, at most {@link KeyValueService#LARGEST_VALUE_BYTES}
 * @param revision the revision of the write that made it; grows over the whole service
 */
public record KvEntry(String key, byte[] value, long revision) {

	public KvEntry {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
	}

}
