package org.citronrelay.platform;

import java.nio.charset.StandardCharsets;

import io.vavr.control.Either;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.BatchJob;
import org.citronrelay.internal.batch.JobCodec;
import org.citronrelay.internal.batch.Step;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PlatformJobReader}.
 */
class PlatformJobReaderTests {

	@Test
	void missingFieldsAreZeroFalseOrEmpty() {
		// when
		BatchJob job = read("{\"spec\":\"x\",\"phases\":[{\"count\":2,\"cpu\":500}]}").get();
		// then
		Step step = job.steps().getFirst();
		assertThat(step.taskResources().cpuMillis()).isEqualTo(500);
		assertThat(step.taskResources().accelerators()).isZero();
		assertThat(step.gang()).isFalse();
		assertThat(step.limits()).isEqualTo(Step.Limits.NONE);
		assertThat(job.repeat()).isEqualTo(BatchJob.Repeat.ONCE);
	}

	@Test
	void allFieldsOfAJobAreReadAndSurviveEncoding() {
		// given
		String body = """
				{"spec":"x","repetitions":3,"startAtMs":1000,"intervalMs":50,"phases":[{"count":1},
				{"count":4,"cpu":1,"memMb":2,"gpu":3,"estRuntimeMs":4,"after":[0],"gang":true,"sameRack":true,
				"savesProgress":true,"requires":"a","affinity":"r1-1","antiAffinity":2,"speculative":true,
				"longRunning":true,"anything":"new"}]}""";
		// when
		BatchJob job = read(body).get();
		// then
		assertThat(job.repeat().dueAt(2)).isEqualTo(1_100);
		assertThat(job.steps().get(1).after()).containsExactly(0);
		assertThat(job.steps().get(1).limits()).isEqualTo(new Step.Limits("a", "r1-1", 2));
		assertThat(job.steps().get(1).shape()).isEqualTo(new Step.Shape(true, true, true, true));
		assertThat(JobCodec.decode("id", JobCodec.encode(job))).isEqualTo(job);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "[]", "{}", "{\"spec\":\"x\"}", "{\"spec\":\"x\",\"phases\":[]}",
			"{\"spec\":1,\"phases\":[{\"count\":1}]}", "{\"spec\":\"x\",\"phases\":[{\"count\":0}]}",
			"{\"spec\":\"x\",\"phases\":[{\"count\":1000000}]}",
			"{\"spec\":\"x\",\"phases\":[{\"count\":1,\"after\":[0]}]}",
			"{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":-1}]}",
			"{\"spec\":\"x\",\"phases\":[{\"count\":1,\"gpu\":\"two\"}]}" })
	void badInputIsRefusedWithFindings(String body) {
		assertThat(read(body).getLeft().list()).isNotEmpty();
	}

	@Test
	void aSpecOneByteOverTheMaximumIsRefused() {
		String phases = "\",\"phases\":[{\"count\":1}]}";
		assertThat(read("{\"spec\":\"" + "x".repeat(4_000) + phases).isRight()).isTrue();
		assertThat(read("{\"spec\":\"" + "x".repeat(4_001) + phases).isLeft()).isTrue();
	}

	@Test
	void aJobWithMoreTasksThanACoordinatorCanKeepIsRefused() {
		assertThat(read("{\"spec\":\"x\",\"repetitions\":2,\"phases\":[{\"count\":10000}]}").isRight()).isTrue();
		assertThat(read("{\"spec\":\"x\",\"repetitions\":10000,\"phases\":[{\"count\":10000}]}").getLeft().text())
			.contains("/phases");
	}

	private static Either<Findings, BatchJob> read(String body) {
		return PlatformJobReader.read(body.getBytes(StandardCharsets.UTF_8), "id", "queue", "team", 7);
	}

}
