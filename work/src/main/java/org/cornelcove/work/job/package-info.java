/** Jobs, their steps and tasks, and the rules of queues, pools and workers. */
package org.cornelcove.work.job;
