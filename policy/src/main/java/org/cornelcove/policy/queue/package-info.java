/** Request queues: which waiting request starts next. */
package org.cornelcove.policy.queue;
