package org.cornelcove.rules;

import java.util.Map;
import java.util.Optional;

import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.model.rule.TenantRule;

/**
 * The rules of one file.
 *
 * @param services by name
 * @param tenants by name
 * @param teams by name
 * @param batch how batch work shares hosts, where the file says so
 */
record ParsedFile(
        Map<String, Declared<ServiceRule>> services,
        Map<String, Declared<TenantRule>> tenants,
        Map<String, Declared<TeamRule>> teams,
        Optional<Declared<BatchRule>> batch) {}
