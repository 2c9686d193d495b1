/** The durable state and the rules by which commands change it. Nothing here reads a clock. */
package org.cornelcove.control.state;
