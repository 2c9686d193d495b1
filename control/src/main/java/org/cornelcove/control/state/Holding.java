package org.cornelcove.control.state;

import org.cornelcove.model.resource.Resources;

/**
 * What is held on a host or by a team.
 *
 * @param total by all attempts
 * @param batch by batch attempts alone
 * @param attempts how many attempts there are
 */
public record Holding(Resources total, Resources batch, int attempts) {
    /** Nothing is held. */
    public static final Holding NONE = new Holding(Resources.NONE, Resources.NONE, 0);

    /** Returns this holding and that of one more attempt. */
    public Holding plus(Resources amount, boolean isBatch) {
        return new Holding(total.plus(amount), isBatch ? batch.plus(amount) : batch, attempts + 1);
    }

    /** Returns this holding less that of one attempt. */
    public Holding minus(Resources amount, boolean isBatch) {
        return new Holding(total.minus(amount), isBatch ? batch.minus(amount) : batch, attempts - 1);
    }
}
