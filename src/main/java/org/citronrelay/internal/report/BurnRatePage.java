package org.citronrelay.internal.report;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import org.citronrelay.internal.report.BurnRateReport.Line;
import org.citronrelay.internal.report.ServiceLevelCounters.Window;

/**
 * Renders the report as a self-contained HTML page with SVG bar charts.
 */
final class BurnRatePage {

	private static final int BAR_HEIGHT = 14;

	private static final int MAX_BAR_WIDTH = 300;

	private static final int LABEL_WIDTH = 40;

	private static final String STYLE = """
			body { font: 15px/1.4 sans-serif; margin: 2rem; color: #222; }
			table { border-collapse: collapse; }
			th, td { text-align: left; padding: .3rem .8rem; border-bottom: 1px solid #ddd; vertical-align: top; }
			.page { color: #b00020; font-weight: bold; } .ticket { color: #9a6700; } .good { color: #1a7f37; }
			""";

	private BurnRatePage() {
	}

	static String render(BurnRateReport report) {
		StringBuilder page = new StringBuilder();
		page.append(
				"<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Error budget burn rates</title><style>")
			.append(STYLE)
			.append("</style></head><body><h1>Error budget burn rates</h1><p>A burn rate of 1 uses up the error budget exactly.</p>")
			.append("<table><tr><th>Team</th><th>Class</th><th>Kind</th><th>State</th><th>Mean</th>")
			.append("<th>Burn rate over 5 m, 30 m, 1 h, 6 h</th></tr>");
		report.lines().forEach((line) -> appendRow(page, line));
		page.append("</table><h2>Failure domains</h2><table><tr><th>Domain</th><th>Jobs</th><th>Queued</th>")
			.append("<th>Idle accelerators</th><th>Unusable for the largest guaranteed shape</th><th>Notes</th></tr>");
		report.domains().forEach((domain) -> appendRow(page, domain));
		page.append("</table>");
		report.ejected().forEach((vm) -> page.append("<p>Ejected: ").append(escapeHtml(vm)).append("</p>"));
		report.notReached()
			.forEach(
					(entry) -> page.append("<p class=\"page\">Not reached: ").append(escapeHtml(entry)).append("</p>"));
		return page.append("</body></html>\n").toString();
	}

	private static void appendRow(StringBuilder page, Line line) {
		page.append("<tr><td>")
			.append(escapeHtml(line.team()))
			.append("</td><td>")
			.append(escapeHtml(line.serviceClass()));
		page.append("</td><td>").append(line.kind()).append("</td><td class=\"").append(line.state()).append("\">");
		page.append(line.state()).append("</td><td>").append(line.meanMs()).append(" ms</td><td>");
		page.append(barChart(line)).append("</td></tr>");
	}

	private static String barChart(Line line) {
		StringBuilder svg = new StringBuilder();
		int height = Window.values().length * (BAR_HEIGHT + 2);
		svg.append(String.format("<svg width=\"%d\" height=\"%d\" role=\"img\">", MAX_BAR_WIDTH + 2 * LABEL_WIDTH,
				height));
		int top = 0;
		for (Window window : Window.values()) {
			double burnRate = line.burnRate(window);
			int width = (int) Math.min(MAX_BAR_WIDTH,
					Math.round(burnRate / BurnRateReport.FAST_BURN_RATE * MAX_BAR_WIDTH / 2));
			String colour = (burnRate >= BurnRateReport.FAST_BURN_RATE) ? "#b00020"
					: (burnRate >= BurnRateReport.SLOW_BURN_RATE) ? "#d4a72c" : "#1a7f37";
			svg.append(String.format(Locale.ROOT,
					"<rect x=\"0\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\"/><text x=\"%d\" y=\"%d\" font-size=\"12\">%.2f</text>",
					top, Math.max(1, width), BAR_HEIGHT, colour, width + 6, top + BAR_HEIGHT - 2, burnRate));
			top += BAR_HEIGHT + 2;
		}
		return svg.append("</svg>").toString();
	}

	private static void appendRow(StringBuilder page, JsonNode domain) {
		page.append("<tr><td>").append(escapeHtml(domain.path("name").asText())).append("</td><td>");
		page.append(domain.path("jobs").asInt()).append("</td><td>").append(domain.path("queued").asInt());
		page.append("</td><td>").append(domain.path("idleAccelerators").asInt()).append("</td><td>");
		page.append(String.format(Locale.ROOT, "%.0f %%", 100 * domain.path("unusableShare").asDouble()));
		page.append("</td><td>");
		domain.path("shortfalls")
			.forEach((text) -> page.append("shortfall ").append(escapeHtml(text.asText())).append("<br>"));
		domain.path("setApart")
			.forEach((vm) -> page.append("quarantined ").append(escapeHtml(vm.asText())).append("<br>"));
		domain.path("unreachable")
			.forEach((vm) -> page.append("unreachable ").append(escapeHtml(vm.asText())).append("<br>"));
		page.append("</td></tr>");
	}

	private static String escapeHtml(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
