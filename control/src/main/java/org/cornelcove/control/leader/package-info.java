/**
 * The leader's duties other than applying commands: leases, assignment of targets and ranges, orders to workers, and
 * placement. All of it is soft state that a new leader rebuilds from heartbeats.
 */
package org.cornelcove.control.leader;
