package org.citronrelay.internal.catalogue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citronrelay.Shape;
import org.citronrelay.Spread;
import org.citronrelay.internal.json.Json;
import org.citronrelay.internal.json.JsonCursor;

/**
 * Shapes in JSON.
 */
public final class ShapeJson {

	private static final int MOST_CORES = 4_096;

	private static final int MOST_MEMORY_GB = 65_536;

	private ShapeJson() {
	}

	/**
	 * Reads a shape.
	 */
	public static Shape read(JsonCursor cursor) {
		Shape shape = new Shape(cursor.integer("members", 1, Shape.MOST_MEMBERS),
				cursor.integer("accelerators", 0, Shape.MOST_ACCELERATORS), cursor.integer("cores", 0, MOST_CORES, 0),
				cursor.integer("memoryGb", 0, MOST_MEMORY_GB, 0), cursor.choice("spread", Spread.class, Spread.RACK));
		cursor.end();
		return shape;
	}

	/**
	 * Writes a shape.
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
