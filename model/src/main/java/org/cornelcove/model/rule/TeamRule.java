package org.cornelcove.model.rule;

import org.cornelcove.model.resource.Resources;

/**
 * A team's quota for jobs.
 *
 * @param name the team
 * @param quota the most resources that its running attempts may hold in total
 * @param weight its weight in fair sharing, 1 or more
 */
public record TeamRule(String name, Resources quota, int weight) {}
