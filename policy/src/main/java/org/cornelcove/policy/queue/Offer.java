package org.cornelcove.policy.queue;

import java.util.Optional;

import org.cornelcove.policy.admission.Verdict;

/**
 * The result of offering a request to a queue.
 *
 * @param <T> type of the caller's payload
 * @param verdict the admission decision
 * @param request the queued request; empty when refused
 */
public record Offer<T>(Verdict verdict, Optional<QueuedRequest<T>> request) {}
