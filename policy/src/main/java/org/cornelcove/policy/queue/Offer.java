package org.cornelcove.policy.queue;

import java.util.Optional;

import org.cornelcove.policy.admission.Verdict;

/**
 * What came of offering a request to a queue.
 *
 * @param <T> what the caller attached to it
 * @param verdict the decision
 * @param request the queued request; empty when refused
 */
public record Offer<T>(Verdict verdict, Optional<Waiting<T>> request) {}
