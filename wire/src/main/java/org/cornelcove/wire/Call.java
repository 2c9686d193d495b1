package org.cornelcove.wire;

/**
 * A remote method: its name on the wire and the types of its request and answer.
 *
 * @param name the name on the wire, the same in every version
 * @param requestType the request's type; {@code byte[]} is sent unencoded
 * @param answerType the answer's type; {@code byte[]} is sent unencoded
 * @param <Q> the request's type
 * @param <R> the answer's type
 */
public record Call<Q, R>(String name, Class<Q> requestType, Class<R> answerType) {
    /** Returns the call with the given name and types. */
    public static <Q, R> Call<Q, R> of(String name, Class<Q> requestType, Class<R> answerType) {
        return new Call<>(name, requestType, answerType);
    }

    static byte[] toBytes(Object message) {
        return message instanceof byte[] bytes ? bytes : Codec.encode(message);
    }

    static <T> T fromBytes(byte[] bytes, Class<T> type) {
        return type == byte[].class ? type.cast(bytes) : Codec.decode(bytes, type);
    }
}
