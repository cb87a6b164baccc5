package org.citronrelay.testing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import org.citronrelay.Catalogue;
import org.citronrelay.internal.catalogue.CatalogueReader;
import org.citronrelay.internal.http.Address;
import org.citronrelay.internal.platform.Vm;

/**
 * Seeds, VMs and a catalogue for use in tests.
 */
public final class Fixtures {

	private Fixtures() {
	}

	/**
	 * Returns the seeds of a fault test: those from the system property
	 * {@code seeds.from}, 1 by default, to {@code seeds.to}, both inclusive.
	 * @param count the number of seeds if {@code seeds.to} is not set
	 */
	public static List<Long> seeds(int count) {
		long from = Long.getLong("seeds.from", 1);
		long to = Long.getLong("seeds.to", from + count - 1);
		return LongStream.rangeClosed(from, to).boxed().toList();
	}

	/**
	 * Returns VMs with 8 accelerators each.
	 */
	public static List<Vm> vms(String domain, int count, int perRack) {
		List<Vm> vms = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			vms.add(new Vm(domain + "-" + (number + 1), domain, domain + "-rack-" + (number / perRack + 1),
					new Address("127.0.0.1", 10_000 + number), 8, 128, 512, 8, 60, false));
		}
		return vms;
	}

	/**
	 * Returns a catalogue with three teams; two of them have a guarantee in the failure
	 * domain east.
	 */
	public static Catalogue catalogue() {
		String text = """
				{"deployment":"test","weights":{"completionTime":0.5,"fragmentation":0.5},
				"classes":[{"name":"interactive","owner":"office","priority":1,"urgent":false,
				"limits":{"queueWaitMs":300},"objective":{"goodShare":0.99,"latencyMs":1000}}],
				"teams":[%s,%s,%s],
				"services":[],
				"jobKinds":[{"name":"reflector-test","owner":"office","class":"interactive","idempotent":true,
				"reclaim":"checkpoint","limits":{"members":16,"runMs":10000000,"attempts":5}}]}
				""".formatted(team("alpha", guarantee(2, 8)), team("beta", guarantee(4, 4)), team("gamma", ""));
		return CatalogueReader.read(text.getBytes(StandardCharsets.UTF_8))
			.getOrElseThrow((findings) -> new IllegalStateException(findings.text()));
	}

	private static String team(String name, String guarantee) {
		return """
				{"id":"id-%s","name":"%s","owner":"office","class":"interactive",
				"limits":{"requestsInProgress":100,"jobs":50,"accelerators":64},"guarantees":[%s]}
				""".formatted(name, name, guarantee);
	}

	private static String guarantee(int members, int accelerators) {
		return """
				{"failureDomain":"east","count":1,
				"shape":{"members":%d,"accelerators":%d,"cores":16,"memoryGb":32,"spread":"rack"}}
				""".formatted(members, accelerators);
	}

}
