/** The persistent state of a member: its log, vote, snapshot and identity. */
package org.cornelcove.replication.storage;
