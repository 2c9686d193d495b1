/** Which waiting request starts next. */
package org.cornelcove.policy.queue;
