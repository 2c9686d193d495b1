package org.cornelcove.wire;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AddressesTest {
    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:80", "255.255.255.255:65535", "0.0.0.0:0", "[::1]:80", "[fe80::a]:1"})
    void aNumericAddressIsReadAndFormattedAgain(String text) {
        assertThat(Addresses.read(Addresses.text(Addresses.parse(text))), is(Addresses.read(text)));
    }

    /** Guards against a look-up of a name, which blocks its thread, and against addresses that cannot be connected to. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ":",
                ":80",
                "10.0.0.1",
                "10.0.0.1:",
                "10.0.0.1:-1",
                "10.0.0.1:65536",
                "10.0.0.1:99999999999",
                "10.0.0.1:8O",
                "host:80",
                "face:80",
                "256.0.0.1:80",
                "1.2.3:80",
                "1.2.3.4.5:80",
                "...:80",
                "7:80",
                "[1:2]:80",
                "[:::]:80",
                "10.0.0.1:80:80",
                " 10.0.0.1:80"
            })
    void anAddressThatIsNotNumericIsRefused(String text) {
        assertThat(Addresses.read(text).isPresent(), is(false));
    }
}
