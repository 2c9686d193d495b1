/** Whether a request is queued or refused at arrival, and when a refused caller is asked to come back. */
package org.cornelcove.policy.admission;
