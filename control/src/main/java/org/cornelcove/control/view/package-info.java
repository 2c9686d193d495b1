/** Status views of the cluster that the leader returns. */
package org.cornelcove.control.view;
