/** The replicated durable state and how commands change it. No class here reads a clock. */
package org.cornelcove.control.state;
