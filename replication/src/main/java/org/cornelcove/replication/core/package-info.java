/** The protocol of the replicated log as a step function: no I/O, no clock, no thread. */
package org.cornelcove.replication.core;
