/** Measurements of the entry: its request path against a bare pass-through, and what claims cost. */
package org.cornelcove.bench.entry;
