/** Jobs made of steps of tasks: what callers submit and what is told about it. */
package org.cornelcove.work.job;
