package walnutfield.record;

import java.lang.reflect.RecordComponent;
import java.util.Collection;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import walnutfield.play.PrintedName;

/** Prints records as {@link Record#toString} does, under the names that {@link PrintedName} gives. */
public final class PrintedText {
    private PrintedText() {}

    /** The text of a record, of an enum constant or of a collection of these. */
    public static String of(Object value) {
        if (value instanceof Record) {
            return Stream.of(value.getClass().getRecordComponents())
                    .map(component -> componentName(component) + "=" + of(read(component, value)))
                    .collect(Collectors.joining(", ", typeName(value.getClass()) + "[", "]"));
        }
        if (value instanceof Enum<?> constant) {
            return constantName(constant);
        }
        if (value instanceof Collection<?> elements) {
            return elements.stream().map(PrintedText::of).collect(Collectors.joining(", ", "[", "]"));
        }
        return String.valueOf(value);
    }

    /** The printed name of a type. */
    public static String typeName(Class<?> type) {
        PrintedName printed = type.getAnnotation(PrintedName.class);
        return printed == null ? type.getSimpleName() : printed.value();
    }

    /** The printed name of a record's component. */
    static String componentName(RecordComponent component) {
        PrintedName printed = component.getAnnotation(PrintedName.class);
        return printed == null ? component.getName() : printed.value();
    }

    private static String constantName(Enum<?> constant) {
        try {
            PrintedName printed =
                    constant.getDeclaringClass().getField(constant.name()).getAnnotation(PrintedName.class);
            return printed == null ? constant.toString() : printed.value();
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Object read(RecordComponent component, Object of) {
        try {
            return component.getAccessor().invoke(of);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read component " + component.getName(), e);
        }
    }
}
