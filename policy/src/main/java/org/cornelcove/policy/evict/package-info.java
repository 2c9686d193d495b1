/** How batch work gives way to services on a loaded host, and comes back. */
package org.cornelcove.policy.evict;
