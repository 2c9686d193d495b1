/** The leader's loop: it places tasks, drives workers and notes their ends. */
package org.cornelcove.work.lead;
