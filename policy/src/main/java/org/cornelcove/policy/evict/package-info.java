/** Throttling and eviction of batch work in favor of services on a loaded host. */
package org.cornelcove.policy.evict;
