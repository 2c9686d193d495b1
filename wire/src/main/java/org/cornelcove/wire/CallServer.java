package org.cornelcove.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Accepts connections from other processes and answers their calls. */
public final class CallServer implements AutoCloseable {
    private final TCPNIOTransport transport;
    private final InetSocketAddress address;

    private CallServer(TCPNIOTransport transport, InetSocketAddress address) {
        this.transport = transport;
        this.address = address;
    }

    /**
     * Starts a server.
     *
     * @param address the address to listen on; port 0 selects a free one
     * @param handlers the handlers of incoming calls
     * @return the running server
     * @throws FailureException of kind {@code PORT_UNAVAILABLE} when the address can't be bound
     */
    public static CallServer open(InetSocketAddress address, CallHandlers handlers) {
        TCPNIOTransport transport = Transports.create("rpc-server");
        transport.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new FrameFilter())
                .add(new AnswerFilter(handlers))
                .build());
        try {
            TCPNIOServerConnection listener = transport.bind(address);
            transport.start();
            SocketAddress bound = listener.getLocalAddress();
            return new CallServer(transport, (InetSocketAddress) bound);
        } catch (IOException e) {
            Transports.close(transport);
            throw Failure.of(ErrorKind.PORT_UNAVAILABLE, address, e.getMessage())
                    .asException();
        }
    }

    /**
     * Returns the address the server listens on.
     *
     * @return the address with the actual port, also when port 0 was asked for
     */
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void close() {
        Transports.close(transport);
    }

    /** Passes each request to its handler and writes the answer to the same connection. */
    private static final class AnswerFilter extends BaseFilter {
        private final CallHandlers handlers;

        AnswerFilter(CallHandlers handlers) {
            this.handlers = handlers;
        }

        @Override
        public NextAction handleRead(FilterChainContext context) {
            Envelope envelope = context.getMessage();
            Connection<?> connection = context.getConnection();
            CompletableFuture<byte[]> answer = dispatch(envelope);
            if (envelope.kind() == Envelope.Kind.REQUEST) {
                answer.whenComplete((body, thrown) -> write(connection, reply(envelope.callId(), body, thrown)));
            }
            return context.getStopAction();
        }

        /** Closes the connection if the write fails: its caller then learns at once that no answer will come. */
        private static <A> void write(Connection<A> connection, Envelope reply) {
            try {
                connection.write(reply, new EmptyCompletionHandler<WriteResult<Envelope, A>>() {
                    @Override
                    public void failed(Throwable thrown) {
                        connection.closeSilently();
                    }
                });
            } catch (RuntimeException e) {
                connection.closeSilently();
            }
        }

        private CompletableFuture<byte[]> dispatch(Envelope envelope) {
            if (envelope.name().equals(Envelope.PING)) {
                return CompletableFuture.completedFuture(new byte[0]);
            }
            try {
                Function<byte[], CompletableFuture<byte[]>> handler = handlers.find(envelope.name())
                        .orElseThrow(() -> Failure.of(ErrorKind.METHOD_UNKNOWN, envelope.name())
                                .asException());
                return handler.apply(envelope.body());
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private static Envelope reply(long callId, byte[] body, Throwable thrown) {
            return thrown == null ? Envelope.answer(callId, body) : Envelope.failure(callId, failureOf(thrown));
        }

        private static Failure failureOf(Throwable thrown) {
            return FailureException.carriedBy(thrown)
                    .orElseGet(() -> Failure.of(ErrorKind.INTERNAL, FailureException.causeOf(thrown)));
        }
    }
}
