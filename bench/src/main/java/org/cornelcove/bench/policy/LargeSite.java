package org.cornelcove.bench.policy;

import java.util.TreeMap;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.TeamRule;

/** The workers, teams and rates of the size designed for, as the benchmarks of placement use them. */
final class LargeSite {
    static final int WORKERS = 1600;
    static final int SERVICES = 7100;
    static final int BATCH = 14_000;
    static final int PER_SECOND = 500;

    /** The mean time that batch work runs, so that as much ends as starts. */
    static final long MEAN_RUN_MS = BATCH * 1000L / PER_SECOND;

    private static final int TEAMS = 100;
    private static final int ZONES = 6;
    private static final int HOSTS_PER_RACK = 20;

    private LargeSite() {}

    static HostId host(int number) {
        return HostId.of("w" + number);
    }

    static String zone(int number) {
        return "zone" + number % ZONES;
    }

    static String rack(int number) {
        return "rack" + number % ZONES + '-' + number / ZONES / HOSTS_PER_RACK;
    }

    static Resources capacity(int number) {
        return Resources.of(32_000, 125 * JobStream.GIB, number % 5 == 0 ? 7 : 0);
    }

    static RuleSet rules() {
        TreeMap<String, TeamRule> teams = new TreeMap<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.put("team" + i, new TeamRule("team" + i, Resources.of(2_000_000, 4000 * JobStream.GIB, 40), 1));
        }
        Resources unbounded = Resources.of(1_000_000_000, Long.MAX_VALUE / 4, 0);
        teams.put("services", new TeamRule("services", unbounded, 1));
        return new RuleSet(new TreeMap<>(), new TreeMap<>(), teams, BatchRule.DEFAULT);
    }
}
