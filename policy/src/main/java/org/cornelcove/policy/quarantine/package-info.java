/** Workers, jobs and kinds of work that fail: who is to blame, and what they may still run. */
package org.cornelcove.policy.quarantine;
