package walnutfield.play;

import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** The name under which a record, one of its components or an enum constant is printed in traces, where it differs. */
@Documented
@Retention(RetentionPolicy.RUNTIME)
@Target({ElementType.TYPE, ElementType.RECORD_COMPONENT, ElementType.FIELD})
public @interface PrintedName {
    /** The printed name; part of the output of {@code trace} and {@code record}. */
    String value();
}
