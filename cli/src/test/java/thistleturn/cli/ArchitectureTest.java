package thistleturn.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** The rooms, and which of them may know which. */
final class ArchitectureTest {
  private static final String CONTROLLER = "thistleturn.decisions.OverloadController";
  private static final String DECISION_LOOP = "thistleturn.courier.DecisionLoop";

  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("thistleturn");

  /**
   * Decisions have no I/O, clock, thread or randomness of their own: all of that comes in by
   * arguments.
   */
  @Test
  void decisionsArePure() {
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
  void theCourierKnowsNoSubsystem() {
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

  /** What implements a port knows the port, not the loop or the process that it serves. */
  @Test
  void implementationsOfPortsDoNotKnowTheServer() {
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

  /** Settings, events and outcomes are plain values: they know no policy. */
  @Test
  void modelDependsOnNoDecision() {
    classes()
        .that()
        .resideInAPackage("thistleturn.decisions.model..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage("thistleturn.decisions.model..", "java.lang..", "java.util")
        .check(ALL);
  }

  /**
   * A rule that names a class by a string passes without a word once that class has another name.
   */
  @Test
  void classesNamedInRulesExist() {
    assertEquals(CONTROLLER, ALL.get(CONTROLLER).getName());
    assertEquals(DECISION_LOOP, ALL.get(DECISION_LOOP).getName());
  }

  @Test
  void onlyDecisionLoopTalksToOverloadController() {
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
  void portsKnowNoImplementation() {
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

  /** The stand-ins and the Auditor judge the courier; they do not know it. */
  @Test
  void theTestkitKnowsNothingOfTheCourier() {
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
