/** The group of control hosts: bootstrap, replacement of members, and leader discovery. */
package org.cornelcove.work.group;
