package org.citronrelay.internal.catalogue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.Shape;
import org.citronrelay.Spread;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.json.JsonCursor;

/**
 * Reads and writes shapes as JSON.
 */
public final class ShapeJson {

	private static final int MAX_CORES = 4_096;

	private static final int MAX_MEMORY_GB = 65_536;

	private ShapeJson() {
	}

	/**
	 * Reads a shape. Errors are added to the collector of the cursor; a value in error is
	 * replaced by an allowed one.
	 */
	public static Shape read(JsonCursor cursor) {
		Shape shape = new Shape(cursor.integer("members", 1, Shape.MAX_MEMBERS),
				cursor.integer("accelerators", 0, Shape.MAX_ACCELERATORS), cursor.integer("cores", 0, MAX_CORES, 0),
				cursor.integer("memoryGb", 0, MAX_MEMORY_GB, 0),
				cursor.enumConstant("spread", Spread.class, Spread.RACK));
		cursor.rejectUnknownFields();
		return shape;
	}

	/**
	 * Returns a shape as JSON.
	 */
	public static ObjectNode write(Shape shape) {
		return Json.object()
			.put("members", shape.members())
			.put("accelerators", shape.accelerators())
			.put("cores", shape.cores())
			.put("memoryGb", shape.memoryGb())
			.put("spread", shape.spread().name().toLowerCase(java.util.Locale.ROOT));
	}

}
