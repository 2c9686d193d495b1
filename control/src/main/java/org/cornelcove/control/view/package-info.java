/** What the leader tells of itself and of what it looks after. */
package org.cornelcove.control.view;
