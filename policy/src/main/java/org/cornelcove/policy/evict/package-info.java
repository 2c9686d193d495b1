/** Throttling and eviction of batch work on hosts whose services need the resources. */
package org.cornelcove.policy.evict;
