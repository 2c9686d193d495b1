package org.cornelcove.rules;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.cornelcove.model.rule.RuleSet;

/**
 * The canonical form of a rule set: JSON without spaces, keys in alphabetical order, amounts in their base units.
 * Folders with equivalent rules have the same form, however these are split over files, ordered or formatted.
 */
public final class CanonicalRules {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
            .build();

    private CanonicalRules() {}

    /**
     * Returns the canonical form.
     *
     * @param rules the rules
     * @return JSON in one line
     */
    public static String json(RuleSet rules) {
        try {
            return MAPPER.writeValueAsString(rules);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("rules cannot be encoded as JSON", e);
        }
    }

    /**
     * Returns the digest that identifies the rules in a configuration proposal.
     *
     * @param rules the rules
     * @return hex SHA-256 of the canonical form
     */
    public static String digest(RuleSet rules) {
        return sha256(json(rules));
    }

    /**
     * Returns the SHA-256 of a text.
     *
     * @param text the text
     * @return the hash of its UTF-8 bytes, in hex
     */
    public static String sha256(String text) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha256.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available on this Java platform", e);
        }
    }
}
