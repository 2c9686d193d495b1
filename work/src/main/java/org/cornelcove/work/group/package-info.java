/** The group of control hosts: how it forms, repairs itself, and how others find its leader. */
package org.cornelcove.work.group;
