/** HTTP server for callers, request queues and dispatch to targets. */
package org.cornelcove.entry;
