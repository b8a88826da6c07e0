package walnutfield.app;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import walnutfield.decide.Director;

/** The dependencies between packages that docs/architecture.md allows. */
@AnalyzeClasses(packages = "walnutfield", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule DECISIONS_DEPEND_ON_NO_INFRASTRUCTURE = classes()
            .that()
            .resideInAnyPackage(
                    "walnutfield.play..",
                    "walnutfield.decide..",
                    "walnutfield.desk..",
                    "walnutfield.resume..",
                    "walnutfield.stitch..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "walnutfield.play..",
                    "walnutfield.decide..",
                    "walnutfield.desk..",
                    "walnutfield.resume..",
                    "walnutfield.stitch..",
                    "java.lang..",
                    "java.util",
                    "java.util.function..",
                    "java.util.stream..",
                    "java.util.zip..");

    @ArchTest
    static final ArchRule ONLY_THE_DESK_USES_THE_DIRECTOR = noClasses()
            .that()
            .resideOutsideOfPackages("walnutfield.decide..", "walnutfield.desk..")
            .should()
            .dependOnClassesThat()
            .areAssignableTo(Director.class);

    @ArchTest
    static final ArchRule STANDINS_DO_NOT_DEPEND_ON_THE_GATEWAY = noClasses()
            .that()
            .resideInAPackage("walnutfield.standin..")
            .should()
            .dependOnClassesThat(resideInAPackage("walnutfield.gateway..")
                    .or(resideInAPackage("walnutfield.decide.."))
                    .or(resideInAPackage("walnutfield.desk..")));

    @ArchTest
    static final ArchRule GATEWAY_DOES_NOT_DEPEND_ON_STANDINS = noClasses()
            .that()
            .resideInAPackage("walnutfield.gateway..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("walnutfield.standin..", "walnutfield.app..", "walnutfield.bench..");

    @ArchTest
    static final ArchRule FORMATS_DO_NO_INPUT_OR_OUTPUT = noClasses()
            .that()
            .resideInAnyPackage(
                    "walnutfield.hls..",
                    "walnutfield.sse..",
                    "walnutfield.orca..",
                    "walnutfield.hosts..",
                    "walnutfield.sip..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "walnutfield.net..", "org.glassfish..", "java.nio.channels..", "java.nio.file..", "javax.net..");

    /** The formats of the platform do no input or output either, and depend on neither of the gateways. */
    @ArchTest
    static final ArchRule PLATFORM_FORMATS_DO_NO_INPUT_OR_OUTPUT = noClasses()
            .that()
            .resideInAnyPackage("walnutfield.rtsp..", "walnutfield.board..", "walnutfield.settings..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "walnutfield.net..",
                    "walnutfield.loop..",
                    "walnutfield.platform..",
                    "walnutfield.gateway..",
                    "org.glassfish..",
                    "java.nio.channels..",
                    "java.nio.file..",
                    "java.util.concurrent..");

    /** The platform's gateway depends on no other front and on no stand-in, and reaches decisions through the desk. */
    @ArchTest
    static final ArchRule PLATFORM_IS_INDEPENDENT = noClasses()
            .that()
            .resideInAPackage("walnutfield.platform..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "walnutfield.gateway..",
                    "walnutfield.standin..",
                    "walnutfield.app..",
                    "walnutfield.bench..",
                    "walnutfield.hls..",
                    "walnutfield.decide..");

    /** Transactions and dialogs are given the time by their callers, so that tests control it. */
    @ArchTest
    static final ArchRule SIP_HAS_NO_CLOCK_OR_THREADS = noClasses()
            .that()
            .resideInAPackage("walnutfield.sip..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.util.concurrent..",
                    "java.time..",
                    "walnutfield.net..",
                    "walnutfield.gateway..",
                    "walnutfield.play..");

    @ArchTest
    static final ArchRule RECORDS_DO_NOT_DEPEND_ON_THE_GATEWAY = noClasses()
            .that()
            .resideInAPackage("walnutfield.record..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "walnutfield.gateway..",
                    "walnutfield.standin..",
                    "walnutfield.app..",
                    "walnutfield.net..",
                    "walnutfield.bench..");

    @ArchTest
    static void packagesHaveNoCyclicDependencies(JavaClasses allClasses) {
        slices().matching("walnutfield.(**)").should().beFreeOfCycles().check(allClasses);
    }
}
