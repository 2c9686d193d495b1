/** Callers' HTTP, queues and dispatch to targets. */
package org.cornelcove.entry;
