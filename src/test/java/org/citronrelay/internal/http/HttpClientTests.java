package org.citronrelay.internal.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.citronrelay.internal.demo.FreeAddresses;
import org.citronrelay.internal.http.HttpReply.Delivery;
import org.citronrelay.internal.time.Pause;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What an exchange proves: whole answers only, and sure knowledge of what was not sent.
 */
class HttpClientTests {

	private static final long SILENCE_MS = 3_000;

	private final Address address = FreeAddresses.next();

	private final AtomicReference<HttpHandler> handler = new AtomicReference<>((call) -> HttpReply.text(200, "whole"));

	private final HttpClient client = new HttpClient(1_000);

	private HttpEndpoint server;

	@AfterEach
	void stop() {
		this.client.close();
		if (this.server != null) {
			this.server.close();
		}
	}

	@Test
	void aCallThatFindsNobodyWasNotSent() {
		assertThat(call(500)).isInstanceOf(Exchange.NotSent.class);
	}

	@Test
	void anAnswerThatIsCutIsBroken() {
		// given
		serve((call) -> HttpReply.text(200, "a text that is cut in the middle").delivered(Delivery.CUT));

		// when
		Exchange exchange = call(2_000);

		// then
		assertThat(exchange).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void anAnswerThatNeverComesIsBroken() {
		// given
		serve((call) -> HttpReply.text(200, "").delivered(Delivery.DROPPED));

		// when
		Exchange exchange = call(2_000);

		// then
		assertThat(exchange).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void anAnswerThatIsTooLargeIsBroken() {
		// given
		serve((call) -> HttpReply.text(200, "x".repeat(2_000)));

		// when
		Exchange exchange = call(2_000);

		// then
		assertThat(exchange).isInstanceOf(Exchange.Broken.class);
	}

	@Test
	void aLateAnswerIsNeverTakenForThatOfTheNextCall() {
		// given
		AtomicInteger calls = new AtomicInteger();
		serve((call) -> {
			int number = calls.incrementAndGet();
			Pause.millis((number == 1) ? SILENCE_MS : 0);
			return HttpReply.text(200, "answer " + number);
		});

		// when
		Exchange first = call(200);
		Exchange second = call(2_000);

		// then
		assertThat(first).isInstanceOf(Exchange.Broken.class);
		assertThat(second).isInstanceOfSatisfying(Exchange.Answered.class,
				(answered) -> assertThat(new String(answered.reply().body())).isEqualTo("answer 2"));
	}

	private void serve(HttpHandler newHandler) {
		this.handler.set(newHandler);
		this.server = HttpEndpoint.start(this.address, HttpLimits.DEFAULT, (call) -> this.handler.get().handle(call));
	}

	private Exchange call(long timeoutMs) {
		return this.client.exchange(this.address, HttpCall.of("GET", "/"), timeoutMs, false);
	}

}
