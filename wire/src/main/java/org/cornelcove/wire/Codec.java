package org.cornelcove.wire;

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.msgpack.core.MessagePackException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes typed messages as MessagePack and decodes them. Unknown fields are ignored, so that a newer process can send
 * messages to an older one.
 */
public final class Codec {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .registerModule(new Jdk8Module())
            .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Codec() {}

    /**
     * Encodes a message.
     *
     * @param message the message, a record of the model
     * @return the message in MessagePack
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
     * @param bytes the message in MessagePack
     * @param type the message's type
     * @param <T> the message's type
     * @return the message
     * @throws org.cornelcove.model.error.FailureException of kind {@code FRAME_MALFORMED} when the bytes are not a message
     *     of the type
     */
    public static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            return type.cast(MAPPER.readValue(bytes, type));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw Failure.of(ErrorKind.FRAME_MALFORMED, firstLine(e)).asException();
        }
    }

    private static String firstLine(Exception e) {
        String text = String.valueOf(e.getMessage());
        return text.lines().findFirst().orElse("");
    }
}
