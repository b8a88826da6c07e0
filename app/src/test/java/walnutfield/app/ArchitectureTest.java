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

/** The arrows of docs/architecture.md. */
@AnalyzeClasses(packages = "walnutfield", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule DECISIONS_ARE_PURE = classes()
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
    static final ArchRule ONLY_THE_DESK_HAS_A_DIRECTOR = noClasses()
            .that()
            .resideOutsideOfPackages("walnutfield.decide..", "walnutfield.desk..")
            .should()
            .dependOnClassesThat()
            .areAssignableTo(Director.class);

    @ArchTest
    static final ArchRule STANDINS_KNOW_NO_GATEWAY = noClasses()
            .that()
            .resideInAPackage("walnutfield.standin..")
            .should()
            .dependOnClassesThat(resideInAPackage("walnutfield.gateway..")
                    .or(resideInAPackage("walnutfield.decide.."))
                    .or(resideInAPackage("walnutfield.desk..")));

    @ArchTest
    static final ArchRule GATEWAY_KNOWS_NO_STANDIN = noClasses()
            .that()
            .resideInAPackage("walnutfield.gateway..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("walnutfield.standin..", "walnutfield.app..", "walnutfield.bench..");

    @ArchTest
    static final ArchRule FORMATS_OPEN_NO_SOCKETS = noClasses()
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

    /** The platform's formats are as pure as the others, its gateway knows no other front and none of the stand-ins. */
    @ArchTest
    static final ArchRule PLATFORM_FORMATS_ARE_PURE = noClasses()
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

    @ArchTest
    static final ArchRule PLATFORM_STANDS_ALONE = noClasses()
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

    /** Transactions and dialogs take their time from outside. */
    @ArchTest
    static final ArchRule SIP_HAS_NO_CLOCK = noClasses()
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
    static final ArchRule RECORDS_KNOW_NO_GATEWAY = noClasses()
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
    static void noCycles(JavaClasses all) {
        slices().matching("walnutfield.(**)").should().beFreeOfCycles().check(all);
    }
}
