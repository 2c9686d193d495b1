/** The Raft protocol as a step function, without I/O, clock or threads. */
package org.cornelcove.replication.core;
