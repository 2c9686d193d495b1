package org.cornelcove.replication;

/** Hears of this member's leadership. Called in order by one thread; must not block. */
public interface LeadershipListener {
    /**
     * This member leads and has applied everything that earlier leaders committed.
     *
     * @param term the term in which it leads
     */
    void leadershipGained(long term);

    /**
     * This member no longer leads.
     *
     * @param term the term in which it led
     */
    void leadershipLost(long term);
}
