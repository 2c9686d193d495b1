/** The replicated log: the members of the group, their threads and their settings. */
package org.cornelcove.replication;
