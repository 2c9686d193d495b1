/** The data folder of a member: its log, its vote, its snapshot and its identity. */
package org.cornelcove.replication.storage;
