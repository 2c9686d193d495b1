package org.cornelcove.policy.place;

import java.util.HashMap;
import java.util.Map;

import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.TeamRule;

/** The resources held by each team's running attempts, checked against its quota. Not thread-safe. */
final class TeamQuotas {
    private final Map<String, Resources> held = new HashMap<>();
    private Map<String, TeamRule> rules;

    TeamQuotas(Map<String, TeamRule> rules) {
        this.rules = rules;
    }

    void setRules(Map<String, TeamRule> newRules) {
        rules = newRules;
    }

    /**
     * Checks whether the team may hold these additional resources. Without any team rule there are no quotas; if other
     * teams have rules, a team without one may hold nothing.
     */
    boolean allows(String team, Resources more) {
        TeamRule rule = rules.get(team);
        return rules.isEmpty() || rule != null && heldBy(team).plus(more).fitsIn(rule.quota());
    }

    void take(String team, Resources amount) {
        held.merge(team, amount, Resources::plus);
    }

    void release(String team, Resources amount) {
        held.merge(team, amount, Resources::minus);
    }

    /** Returns the team's dominant share of the cluster divided by its weight; the team with the smallest goes first. */
    double dominantShare(String team, Resources cluster) {
        Resources mine = heldBy(team);
        double share = Math.max(
                ratio(mine.cpuMillicores(), cluster.cpuMillicores()),
                Math.max(
                        ratio(mine.memoryBytes(), cluster.memoryBytes()),
                        ratio(mine.accelerators(), cluster.accelerators())));
        TeamRule rule = rules.get(team);
        return share / (rule == null ? 1 : Math.max(1, rule.weight()));
    }

    private Resources heldBy(String team) {
        return held.getOrDefault(team, Resources.NONE);
    }

    private static double ratio(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
