/** Attribution of failures to workers, jobs or kinds of work, and the resulting limits on starts. */
package org.cornelcove.policy.quarantine;
