package org.cornelcove.model.rule;

/**
 * A tenant's share of the services.
 *
 * @param name the tenant
 * @param weight its weight in fair sharing, 1 or more
 * @param maxQueued the most requests queued at one entry
 */
public record TenantRule(String name, int weight, int maxQueued) {}
