/** Admission control: whether a request is queued or refused, and the retry delay of a refused one. */
package org.cornelcove.policy.admission;
