/** What the control hosts and entries spend at three sizes, for the slopes of docs/CAPACITY.md. */
package org.cornelcove.bench.capacity;
