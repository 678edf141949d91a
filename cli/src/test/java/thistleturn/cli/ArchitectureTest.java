package thistleturn.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The permitted dependencies between packages. */
final class ArchitectureTest {
  private static final String CONTROLLER = "thistleturn.decisions.OverloadController";
  private static final String DECISION_LOOP = "thistleturn.courier.DecisionLoop";

  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("thistleturn");

  /**
   * Decisions perform no I/O and use no clock, thread or randomness of their own; callers pass in
   * times and random numbers.
   */
  @Test
  void decisions_arePure() {
    classes()
        .that()
        .resideInAPackage("thistleturn.decisions..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "thistleturn.decisions..",
            "java.lang..",
            "java.util",
            "java.util.function",
            "java.util.stream")
        .check(ALL);
    noClasses()
        .that()
        .resideInAPackage("thistleturn.decisions..")
        .should()
        .accessClassesThat()
        .haveFullyQualifiedName(Thread.class.getName())
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "identityHashCode", Object.class)
        .orShould()
        .callMethod(Math.class, "random")
        .check(ALL);
  }

  @Test
  void courier_dependsOnNoSubsystem() {
    noClasses()
        .that()
        .resideInAPackage("thistleturn.courier..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "thistleturn.eureka..",
            "thistleturn.membership..",
            "thistleturn.cli..",
            "thistleturn.testkit..",
            "thistleturn.adapter..",
            "thistleturn.peers..",
            "thistleturn.replicas..",
            "thistleturn.lab..")
        .check(ALL);
  }

  /** The implementation of a port depends on the port, not on the decision loop or the server. */
  @Test
  void portImplementations_doNotDependOnServer() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "thistleturn.courier.http..",
            "thistleturn.courier.platform..",
            "thistleturn.courier.journal..",
            "thistleturn.courier.transport..",
            "thistleturn.courier.runtime..",
            "thistleturn.courier.health..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("thistleturn.courier")
        .check(ALL);
  }

  /** Settings, events and outcomes are plain values that depend on no policy. */
  @Test
  void model_dependsOnNoDecision() {
    classes()
        .that()
        .resideInAPackage("thistleturn.decisions.model..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage("thistleturn.decisions.model..", "java.lang..", "java.util")
        .check(ALL);
  }

  /** A rule that names a class by a string passes silently once that class is renamed. */
  @Test
  void classesNamedInRules_exist() {
    assertEquals(CONTROLLER, ALL.get(CONTROLLER).getName());
    assertEquals(DECISION_LOOP, ALL.get(DECISION_LOOP).getName());
  }

  @Test
  void overloadController_isUsedOnlyByDecisionLoop() {
    noClasses()
        .that()
        .resideOutsideOfPackages("thistleturn.decisions..", "thistleturn.adapter..")
        .and()
        .doNotHaveFullyQualifiedName(DECISION_LOOP)
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName(CONTROLLER)
        .check(ALL);
  }

  @Test
  void ports_dependOnNoImplementation() {
    noClasses()
        .that()
        .resideInAPackage("thistleturn.courier.port..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "thistleturn.courier.http..",
            "thistleturn.courier.platform..",
            "thistleturn.courier.journal..",
            "io.netty..")
        .check(ALL);
  }

  /** The stand-ins and the auditor check the courier from outside, without its code. */
  @Test
  void testkit_doesNotDependOnCourier() {
    noClasses()
        .that()
        .resideInAPackage("thistleturn.testkit..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "thistleturn.courier..",
            "thistleturn.eureka..",
            "thistleturn.membership..",
            "thistleturn.peers..")
        .check(ALL);
  }
}
