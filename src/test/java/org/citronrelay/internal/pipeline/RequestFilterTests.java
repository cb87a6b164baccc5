package org.citronrelay.internal.pipeline;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.citronrelay.CatalogueEntry.ClassLimits;
import org.citronrelay.CatalogueEntry.Objective;
import org.citronrelay.CatalogueEntry.Service;
import org.citronrelay.CatalogueEntry.ServiceClass;
import org.citronrelay.CatalogueEntry.ServiceLimits;
import org.citronrelay.CatalogueEntry.Team;
import org.citronrelay.CatalogueEntry.TeamLimits;
import org.citronrelay.Outcome;
import org.citronrelay.Outcome.NotRunCause;
import org.citronrelay.internal.admission.SlotLimiter;
import org.citronrelay.internal.admission.TeamLimiter;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestFilterTests {

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final TeamLimiter teamLimiter = new TeamLimiter();

	private final SlotLimiter slotLimiter = new SlotLimiter(1, 4);

	private final AtomicInteger dispatched = new AtomicInteger();

	@Test
	void aProcessThatIsStoppingReportsThatTheRequestDidNotRun() {
		// given
		this.stopping.set(true);

		// when
		Outcome outcome = chain().apply(request());

		// then
		assertThat(cause(outcome)).isEqualTo(NotRunCause.STOPPING);
		assertThat(this.dispatched).hasValue(0);
	}

	@Test
	void aRequestOfATeamAtItsShareOfTheLimitIsRejected() {
		// given
		this.teamLimiter.tryAcquire("id", 2, 2);

		// when
		Outcome outcome = chain().apply(request());

		// then
		assertThat(cause(outcome)).isEqualTo(NotRunCause.TEAM_LIMIT);
	}

	@Test
	void aRequestWithoutASlotInTimeDidNotRunAndNoLongerCountsForItsTeam() {
		// given
		this.slotLimiter.acquire(0, 0);

		// when
		Outcome outcome = chain().apply(request());

		// then
		assertThat(cause(outcome)).isEqualTo(NotRunCause.OVERLOAD);
		assertThat(this.teamLimiter.inProgress("id")).isZero();
		assertThat(this.slotLimiter.waiting()).isZero();
	}

	@Test
	void aServedRequestReleasesItsSlotAndNoLongerCountsForItsTeam() {
		// when
		Outcome outcome = chain().apply(request());

		// then
		assertThat(outcome).isInstanceOf(Outcome.Done.class);
		assertThat(this.slotLimiter.used()).isZero();
		assertThat(this.teamLimiter.inProgress("id")).isZero();
	}

	private Function<RequestContext, Outcome> chain() {
		return RequestFilter.chain(List.of(new StoppingFilter(this.stopping::get),
				new TeamLimitFilter(this.teamLimiter, () -> 2), new SlotFilter(this.slotLimiter, () -> 0)),
				(request) -> {
					this.dispatched.incrementAndGet();
					return new Outcome.Done(200, Map.of(), new byte[0]);
				});
	}

	private static NotRunCause cause(Outcome outcome) {
		return ((Outcome.NotRun) outcome).cause();
	}

	private static RequestContext request() {
		Team team = new Team("id", "team", "office", "class", new TeamLimits(2, 1, 1), List.of(), List.of());
		Service service = new Service("id", "service", "office", "class", true, new ServiceLimits(1, 1, 1));
		ServiceClass serviceClass = new ServiceClass("id", "class", "office", 1, false, new ClassLimits(20),
				new Objective(0.99, 1));
		return new RequestContext("id", team, service, serviceClass, "", "", "text/plain", new byte[0], 0, 1_000);
	}

}
