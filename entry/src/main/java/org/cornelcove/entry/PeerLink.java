package org.cornelcove.entry;

import java.util.concurrent.CompletableFuture;

/** Forwards requests to another entry. */
public interface PeerLink {
    /**
     * Forwards a request once; the receiver never forwards it again.
     *
     * @param rpcAddress the other entry, {@code ip:port}
     * @param request the whole request
     * @return the whole answer; fails with kind {@code CALL_NOT_SENT} when nothing was sent, and with any other kind
     *     when the request may have run
     */
    CompletableFuture<ForwardedAnswer> forward(String rpcAddress, ForwardedRequest request);
}
