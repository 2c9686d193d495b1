package org.cornelcove.entry;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class HeadersTest {
    @ParameterizedTest
    @CsvSource({
        "Connection, , false",
        "KEEP-ALIVE, , false",
        "proxy-connection, , false",
        "Proxy-Authenticate, , false",
        "Proxy-Authorization, , false",
        "TE, , false",
        "trailer, , false",
        "Transfer-Encoding, , false",
        "Upgrade, , false",
        "Expect, , false",
        "Content-Length, , false",
        "Cornelcove-Epoch, , false",
        "cornelcove-not-after, , false",
        "Cornelcove-Key, , true",
        "X-Hop, 'close, x-hop', false",
        "X-Other, 'close, x-hop', true",
        "X-Other, Keep-Alive, true",
        "Cookie, keep-alive, true"
    })
    void hopByHopHeadersAreNotForwarded(String name, String connection, boolean passed) {
        assertThat(Headers.isForwarded(name, connection), is(passed));
    }
}
