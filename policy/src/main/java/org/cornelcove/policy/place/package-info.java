/** On which host a job's next attempt starts, and which job is next. */
package org.cornelcove.policy.place;
