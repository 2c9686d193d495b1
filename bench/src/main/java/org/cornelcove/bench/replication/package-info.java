/** Measurements of the replicated log. */
package org.cornelcove.bench.replication;
