/** The decisions of {@code policy} against the way that one would write first, with the same arrivals and seeds. */
package org.cornelcove.bench.policy;
