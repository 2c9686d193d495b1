/** The client side of the operators' HTTP interface. */
package org.cornelcove.cli.client;
