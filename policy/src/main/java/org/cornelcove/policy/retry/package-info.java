/** Retries: whether a request that was not run may be sent to another target. */
package org.cornelcove.policy.retry;
