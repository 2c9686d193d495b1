package org.cornelcove.bench.entry;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ClosedLoopTest {
    private static final int CLIENTS = 4;
    private static final long NUMBERS_OF_A_CLIENT = 1_000_000_000L;

    @ParameterizedTest
    @ValueSource(longs = {1, Long.MAX_VALUE})
    void everyClientSendsRequests(long mostEach) throws Exception {
        Set<Long> sending = ConcurrentHashMap.newKeySet();
        try (EchoTarget target = EchoTarget.start()) {
            ClosedLoop.run(List.of(target.port()), CLIENTS, new ClosedLoop.Span(500, mostEach), number -> {
                sending.add(number / NUMBERS_OF_A_CLIENT);
                return "GET / HTTP/1.1\r\nHost: bench\r\n\r\n";
            });
        }
        assertThat(sending.size(), is(CLIENTS));
    }
}
