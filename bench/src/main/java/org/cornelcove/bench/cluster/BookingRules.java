package org.cornelcove.bench.cluster;

import java.util.TreeMap;

import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.view.ConfigurationProposal;
import org.cornelcove.rules.CanonicalRules;

/** The rules of a booking service, in as many contents as there are change numbers. */
final class BookingRules {
    static final String SERVICE = "booking";
    static final String PATH = "/booking";

    private static final long DEADLINE_MS = 5_000;
    private static final long MAX_DEADLINE_MS = 10_000;
    private static final long MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_QUEUED = 720;
    private static final long SHORT_RUN_MS = 60;
    private static final int SHORT_SLOTS_PERCENT = 30;

    private BookingRules() {}

    /** Returns the proposal of a change; the same number gives the same content. */
    static ConfigurationProposal proposal(long changeNumber) {
        RuleSet rules = new RuleSet(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), BatchRule.DEFAULT);
        rules.services().put(SERVICE, service(SERVICE, PATH));
        rules.services().put("changed", service("changed", "/changed-" + changeNumber));
        return new ConfigurationProposal(changeNumber, "bench", CanonicalRules.digest(rules), rules);
    }

    private static ServiceRule service(String name, String pathPrefix) {
        return new ServiceRule(
                name,
                pathPrefix,
                RequestClass.EXCLUSIVE,
                DEADLINE_MS,
                MAX_DEADLINE_MS,
                MAX_BODY_BYTES,
                MAX_QUEUED,
                SHORT_RUN_MS,
                SHORT_SLOTS_PERCENT);
    }
}
