package org.citronrelay;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

/**
 * Checks the rules on dependencies between packages and on naming.
 */
class ArchitectureTests {

	private static final String[] DECISION_PACKAGES = { "org.citronrelay.internal.gang..",
			"org.citronrelay.internal.placement..", "org.citronrelay.internal.schedule..",
			"org.citronrelay.internal.batch.." };

	private final JavaClasses classes = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("org.citronrelay");

	@Test
	void decisionCodeReadsNoClockAndWritesNoLog() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(DECISION_PACKAGES)
			.should()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.dependOnClassesThat()
			.resideInAnyPackage("java.time..", "org.slf4j..", "org.citronrelay.internal.time..",
					"org.citronrelay.internal.logging..", "java.util.concurrent..", "org.glassfish..")
			.check(this.classes);
	}

	@Test
	void onlyTheCommandLineDependsOnThePlatformAdapter() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideOutsideOfPackages("org.citronrelay.platform..", "org.citronrelay.internal.cli..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage("org.citronrelay.platform..")
			.check(this.classes);
	}

	@Test
	void accessorsHaveNoGetPrefix() {
		ArchRuleDefinition.noMethods()
			.that()
			.areDeclaredInClassesThat()
			.resideInAPackage("org.citronrelay..")
			.should()
			.haveNameMatching("get[A-Z].*")
			.check(this.classes);
	}

	@Test
	void noClassStartsAnotherProcess() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.areAssignableTo(ProcessBuilder.class)
			.orShould()
			.callMethod(Runtime.class, "exec", String[].class)
			.check(this.classes);
	}

	@Test
	void thePublicApiDoesNotDependOnInternalPackages() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.citronrelay")
			.and()
			.doNotHaveSimpleName("Citronrelay")
			.should()
			.dependOnClassesThat()
			.resideInAPackage("org.citronrelay.internal..")
			.check(this.classes);
	}

}
