package org.cornelcove.model.rule;

import org.cornelcove.model.request.RequestClass;

/**
 * How the requests of one service are treated.
 *
 * @param name the service
 * @param pathPrefix requests whose path starts with this belong to the service
 * @param defaultClass the class of a request that specifies none; GET and HEAD are always {@code SAFE} by default
 * @param deadlineMs the deadline of a request that specifies none, in milliseconds
 * @param maxDeadlineMs the longest deadline that a request may ask for
 * @param maxBodyBytes the largest request body
 * @param maxQueued the most requests queued at one entry
 * @param shortRunMs requests expected to run at most this long count as short
 * @param shortSlotsPercent the share of slots that long requests never take
 */
public record ServiceRule(
        String name,
        String pathPrefix,
        RequestClass defaultClass,
        long deadlineMs,
        long maxDeadlineMs,
        long maxBodyBytes,
        int maxQueued,
        long shortRunMs,
        int shortSlotsPercent) {}
