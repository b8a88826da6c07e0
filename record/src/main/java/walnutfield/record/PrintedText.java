package walnutfield.record;

import java.lang.reflect.RecordComponent;
import java.util.Collection;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import walnutfield.play.PrintedName;

/**
 * Prints records as {@link Record#toString} does, but under the names given by {@link PrintedName}, so that traces
 * and other printed texts do not change when a type or component is renamed.
 */
public final class PrintedText {
    private PrintedText() {}

    /**
     * Returns the text of a record, an enum constant, a collection of these, or any other value by its own toString.
     */
    public static String of(Object value) {
        if (value instanceof Record) {
            return Stream.of(value.getClass().getRecordComponents())
                    .map(component -> componentName(component) + "=" + of(readComponent(component, value)))
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

    /** Returns the printed name of a type. */
    public static String typeName(Class<?> type) {
        PrintedName printed = type.getAnnotation(PrintedName.class);
        return printed == null ? type.getSimpleName() : printed.value();
    }

    /** Returns the printed name of a record component. */
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

    private static Object readComponent(RecordComponent component, Object instance) {
        try {
            return component.getAccessor().invoke(instance);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot read record component " + component.getName(), e);
        }
    }
}
