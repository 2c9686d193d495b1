package org.cornelcove.control.state;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/**
 * Finds a component of a decoded record that is null. Messages from other processes may lack fields, which
 * the tables of the state require.
 */
final class MissingField {
    private static final ClassValue<Method[]> ACCESSORS = new ClassValue<>() {
        @Override
        protected Method[] computeValue(Class<?> type) {
            return Arrays.stream(type.getRecordComponents())
                    .map(RecordComponent::getAccessor)
                    .toArray(Method[]::new);
        }
    };

    private MissingField() {}

    static Optional<String> find(Object value) {
        if (value instanceof Record) {
            return findInRecord((Record) value);
        }
        if (value instanceof Optional) {
            return ((Optional<?>) value).flatMap(MissingField::find);
        }
        if (value instanceof Map) {
            return findInAll(((Map<?, ?>) value).values());
        }
        if (value instanceof Collection) {
            return findInAll((Collection<?>) value);
        }
        return Optional.empty();
    }

    private static Optional<String> findInAll(Collection<?> values) {
        for (Object value : values) {
            Optional<String> missing = value == null ? Optional.of("an element") : find(value);
            if (missing.isPresent()) {
                return missing;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> findInRecord(Record value) {
        for (Method accessor : ACCESSORS.get(value.getClass())) {
            Object component = read(value, accessor);
            Optional<String> missing = component == null ? Optional.of(accessor.getName()) : find(component);
            if (missing.isPresent()) {
                return missing;
            }
        }
        return Optional.empty();
    }

    private static Object read(Record value, Method accessor) {
        try {
            return accessor.invoke(value);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("not readable: " + accessor, e);
        }
    }
}
