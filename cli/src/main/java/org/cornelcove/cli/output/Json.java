package org.cornelcove.cli.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** JSON as the operators' HTTP interface and {@code --json} use it. Unknown keys of a newer daemon are ignored. */
public final class Json {
    /** Reads and writes the view records. */
    public static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private Json() {}

    /**
     * Formats a value as JSON for scripts.
     *
     * @param value a record or a list of records
     * @return indented JSON
     */
    public static String write(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("not writable as JSON: " + value.getClass(), e);
        }
    }
}
