package org.cornelcove.rules;

import java.util.Map;
import java.util.Optional;

import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.model.rule.TenantRule;

/**
 * The rules and withdrawals of one file.
 *
 * @param services the services by name
 * @param tenants the tenants by name
 * @param teams the teams by name
 * @param batch how batch work shares hosts, empty where the file has no such section
 */
record ParsedFile(
        Map<String, Declared<ServiceRule>> services,
        Map<String, Declared<TenantRule>> tenants,
        Map<String, Declared<TeamRule>> teams,
        Optional<Declared<BatchRule>> batch) {}
