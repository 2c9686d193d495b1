package org.cornelcove.policy.pace;

/** A token bucket: permits accrue at a constant rate up to a capacity. Not thread-safe. */
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
     * Returns a full bucket.
     *
     * @param perSecond permits added per second
     * @param maxStored the capacity in permits
     * @return the bucket
     */
    public static TokenBucket full(double perSecond, double maxStored) {
        return new TokenBucket(perSecond, maxStored, maxStored);
    }

    /**
     * Changes the rate from the given time on.
     *
     * @param newPerSecond permits added per second
     * @param nowMs the current instant
     */
    public void setRate(double newPerSecond, long nowMs) {
        fill(nowMs);
        perSecond = newPerSecond;
    }

    /**
     * Takes one permit.
     *
     * @param keep number of permits that must remain
     * @param nowMs the current instant
     * @return true if a permit was taken
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
     * Takes one permit even if none is available. The balance may become negative, down to the negative of the capacity;
     * it must be positive again before other callers get a permit.
     *
     * @param nowMs the current instant
     */
    public void overdraw(long nowMs) {
        fill(nowMs);
        stored = Math.max(-maxStored, stored - 1);
    }

    /**
     * Checks whether a permit is available.
     *
     * @param nowMs the current instant
     * @return true if there is at least one
     */
    public boolean hasOne(long nowMs) {
        fill(nowMs);
        return stored >= 1;
    }

    /**
     * Discards the permits above a limit.
     *
     * @param most the maximum number of permits that remain
     * @param nowMs the current instant
     */
    public void discardAbove(double most, long nowMs) {
        fill(nowMs);
        stored = Math.min(most, stored);
    }

    /**
     * Changes the capacity; permits above it are discarded.
     *
     * @param most the new capacity in permits
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
