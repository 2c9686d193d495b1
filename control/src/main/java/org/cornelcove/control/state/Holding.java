package org.cornelcove.control.state;

import org.cornelcove.model.resource.Resources;

/**
 * The resources held on a host or by a team.
 *
 * @param total the resources of all attempts
 * @param batch the resources of batch attempts only
 * @param attempts the number of attempts
 */
public record Holding(Resources total, Resources batch, int attempts) {
    /** Nothing is held. */
    public static final Holding NONE = new Holding(Resources.NONE, Resources.NONE, 0);

    /** Returns this holding with one more attempt. */
    public Holding plus(Resources amount, boolean isBatch) {
        return new Holding(total.plus(amount), isBatch ? batch.plus(amount) : batch, attempts + 1);
    }

    /** Returns this holding with one attempt removed. */
    public Holding minus(Resources amount, boolean isBatch) {
        return new Holding(total.minus(amount), isBatch ? batch.minus(amount) : batch, attempts - 1);
    }
}
