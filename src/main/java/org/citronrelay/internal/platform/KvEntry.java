package org.citronrelay.internal.platform;

import java.util.Objects;

/**
 * A key of the key-value service with its value and revision.
 *
 * @param key the key
 * @param value the value, with a maximum size of {@link KeyValueService#MAX_VALUE_BYTES}
 * @param revision the revision of the last write to the key; revisions increase with each
 * write to any key of the service
 */
public record KvEntry(String key, byte[] value, long revision) {

	public KvEntry {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
	}

}
