package org.cornelcove.policy.pace;

/** A store of permits that fills at a steady pace up to a bound. Not thread-safe. */
public final class TokenBucket {
    private double maxStored;
    private double perSecond;
    private double stored;
    private long filledAtMs;

    private TokenBucket(double perSecond, double maxStored, double stored) {
        this.perSecond = perSecond;
        this.maxStored = maxStored;
        this.stored = stored;
    }

    /**
     * Returns a full store.
     *
     * @param perSecond permits added each second
     * @param maxStored the most that is stored
     * @return the store
     */
    public static TokenBucket full(double perSecond, double maxStored) {
        return new TokenBucket(perSecond, maxStored, maxStored);
    }

    /**
     * Changes the pace from the given instant on.
     *
     * @param newPerSecond permits added each second
     * @param nowMs the current instant
     */
    public void setPace(double newPerSecond, long nowMs) {
        fill(nowMs);
        perSecond = newPerSecond;
    }

    /**
     * Takes one permit.
     *
     * @param keep permits that must be left over
     * @param nowMs the current instant
     * @return whether there was one
     */
    public boolean tryTake(double keep, long nowMs) {
        fill(nowMs);
        if (stored < 1 + keep) {
            return false;
        }
        stored -= 1;
        return true;
    }

    /**
     * Takes one permit in any case, down to as many below none as are stored at most. What is owed is paid off before the
     * next permit is left for others.
     *
     * @param nowMs the current instant
     */
    public void owe(long nowMs) {
        fill(nowMs);
        stored = Math.max(-maxStored, stored - 1);
    }

    /**
     * Tells whether there is a permit.
     *
     * @param nowMs the current instant
     * @return whether there is one
     */
    public boolean hasOne(long nowMs) {
        fill(nowMs);
        return stored >= 1;
    }

    /**
     * Throws away what is stored beyond an amount.
     *
     * @param most what is left at most
     * @param nowMs the current instant
     */
    public void leave(double most, long nowMs) {
        fill(nowMs);
        stored = Math.min(most, stored);
    }

    /**
     * Changes the most that is stored.
     *
     * @param most the most
     */
    public void setMaxStored(double most) {
        maxStored = most;
        stored = Math.min(stored, most);
    }

    private void fill(long nowMs) {
        if (nowMs > filledAtMs) {
            stored = Math.min(maxStored, stored + perSecond * (nowMs - filledAtMs) / 1000);
            filledAtMs = nowMs;
        }
    }
}
