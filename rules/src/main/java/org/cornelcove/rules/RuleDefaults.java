package org.cornelcove.rules;

import org.cornelcove.model.request.RequestClass;

/**
 * Values of the optional keys that a rule leaves out. The default request class is the strictest: requests of a service
 * whose rule has no class are refused for lack of a key rather than run twice.
 */
public final class RuleDefaults {
    /** The class of a service's requests. */
    public static final RequestClass SERVICE_CLASS = RequestClass.ONCE;
    /** The deadline of a request without one of its own. */
    public static final long SERVICE_DEADLINE_MS = 10_000;
    /** The longest deadline that a request may ask for. */
    public static final long SERVICE_MAX_DEADLINE_MS = 60_000;
    /** The largest request body. */
    public static final long SERVICE_MAX_BODY_BYTES = 1 << 20;
    /** The maximum number of queued requests of a service at one entry. */
    public static final int SERVICE_MAX_QUEUED = 256;
    /** The longest expected run time of a short request. */
    public static final long SERVICE_SHORT_RUN_MS = 100;
    /** The share of slots that is reserved for short requests. */
    public static final int SERVICE_SHORT_SLOTS_PERCENT = 25;
    /** The maximum number of queued requests of a tenant at one entry. */
    public static final int TENANT_MAX_QUEUED = 128;
    /** The weight of a tenant or team in fair sharing. */
    public static final int WEIGHT = 1;

    private RuleDefaults() {}
}
