package org.cornelcove.bench;

import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Keeps the modules' dependencies in one direction. */
class DependencyDirectionTest {
    private static JavaClasses classes;

    @BeforeAll
    static void read() {
        classes = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("org.cornelcove");
    }

    static Stream<Arguments> allowed() {
        return Stream.of(
                Arguments.of("model", List.of()),
                Arguments.of("policy", List.of("model")),
                Arguments.of("rules", List.of("model")),
                Arguments.of("wire", List.of("model")),
                Arguments.of("replication", List.of("model", "wire")),
                Arguments.of("control", List.of("model", "policy", "wire", "replication")),
                Arguments.of("entry", List.of("model", "policy", "wire")),
                Arguments.of("daemon", List.of("model", "policy", "rules", "wire", "replication", "control", "entry")),
                Arguments.of("cli", List.of("model", "rules")));
    }

    @ParameterizedTest
    @MethodSource("allowed")
    void aModuleDependsOnlyOnWhatItsJobNeeds(String module, List<String> others) {
        String[] packages = Stream.concat(Stream.of(module), others.stream())
                .map(name -> "org.cornelcove." + name + "..")
                .toArray(String[]::new);
        ArchRuleDefinition.classes()
                .that()
                .resideInAPackage("org.cornelcove." + module + "..")
                .should()
                .onlyDependOnClassesThat(DescribedPredicate.or(
                        JavaClass.Predicates.resideInAnyPackage(packages),
                        DescribedPredicate.not(JavaClass.Predicates.resideInAPackage("org.cornelcove.."))))
                .check(classes);
    }

    @Test
    void decisionsDoNoInputOrOutputAndReadNoClock() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("org.cornelcove.policy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..", "java.nio..", "java.net..", "java.util.concurrent.locks", "org.glassfish..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Executor.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Future.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(TimeUnit.class)
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(classes);
    }
}
