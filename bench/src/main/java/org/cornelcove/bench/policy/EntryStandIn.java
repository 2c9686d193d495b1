package org.cornelcove.bench.policy;

/** One entry's decisions over its share of the executors. */
interface EntryStandIn {
    void arrive(Call call);
}
