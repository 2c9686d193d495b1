package org.cornelcove.control.leader;

import java.util.List;

import org.cornelcove.control.state.Job;
import org.cornelcove.model.command.PlaceAttempt;

/**
 * What one round of placement came to.
 *
 * @param placements to propose
 * @param withoutRoom jobs that were looked at and fit nowhere now
 */
record PlacementRound(List<PlaceAttempt> placements, List<Job> withoutRoom) {}
