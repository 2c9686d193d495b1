/** Measurements of whole clusters: daemons as processes, with targets and callers in this one. */
package org.cornelcove.bench.cluster;
