package org.geraniumwharf.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class CoreArchitectureTest {

  private static final JavaClasses CORE =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.geraniumwharf");

  @Test
  void should_use_no_io_threads_or_locks_outside_the_schema_packages() {
    noClasses()
        .that()
        .resideOutsideOfPackages(
            "org.geraniumwharf.schema..", "org.geraniumwharf.internal.schema..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..", "java.nio.file..", "java.nio.channels..", "java.util.concurrent.locks..")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(CORE);
  }

  @Test
  void should_read_the_system_clock_only_in_the_time_package() {
    noClasses()
        .that()
        .resideOutsideOfPackage("org.geraniumwharf.time..")
        .should()
        .callMethod(Instant.class, "now")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Clock.class)
        .check(CORE);
  }
}
