package org.cornelcove.wire;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Either;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/** Encodes and decodes the JSON messages of operators, targets and workers. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /**
     * Encodes a message.
     *
     * @param message the message, a record or a list of records
     * @return the message in JSON
     */
    public static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException("not encodable: " + message.getClass(), e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes the message in JSON
     * @param type the message's type
     * @param <T> the message's type
     * @return the message, or a failure of kind {@code ANNOUNCEMENT_INVALID} that describes the fault
     */
    public static <T> Either<Failure, T> decode(byte[] bytes, Class<T> type) {
        try {
            T message = MAPPER.readValue(bytes, type);
            return message == null ? Either.left(invalid("empty")) : Either.right(message);
        } catch (IOException | IllegalArgumentException e) {
            return Either.left(invalid(firstLine(e)));
        }
    }

    private static Failure invalid(String reason) {
        return Failure.of(ErrorKind.ANNOUNCEMENT_INVALID, reason);
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }
}
