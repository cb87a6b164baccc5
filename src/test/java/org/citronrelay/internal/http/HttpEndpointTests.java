package org.citronrelay.internal.http;

import org.citronrelay.internal.demo.FreeAddresses;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link HttpEndpoint}.
 */
class HttpEndpointTests {

	@ParameterizedTest
	@ValueSource(classes = { IllegalStateException.class, StackOverflowError.class, NoClassDefFoundError.class })
	void aCallWhoseHandlerFailsIsNeverAnsweredWithSuccess(Class<? extends Throwable> failure) {
		// given
		Address address = FreeAddresses.next();
		HttpEndpoint endpoint = HttpEndpoint.start(address, HttpLimits.DEFAULT, (call) -> {
			throw HttpEndpointTests.<RuntimeException>raise(failure);
		});
		try (HttpClient client = new HttpClient(1_000)) {
			// when
			Exchange exchange = client.exchange(address, HttpCall.of("POST", "/"), 5_000, false);
			// then
			assertThat(exchange).isInstanceOfSatisfying(Exchange.Answered.class,
					(answered) -> assertThat(answered.reply().status()).isEqualTo(500));
		}
		finally {
			endpoint.close();
		}
	}

	/**
	 * Throws an instance of a class, checked or not.
	 */
	@SuppressWarnings("unchecked")
	private static <E extends Throwable> E raise(Class<? extends Throwable> failure) throws E {
		try {
			throw (E) failure.getDeclaredConstructor().newInstance();
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
