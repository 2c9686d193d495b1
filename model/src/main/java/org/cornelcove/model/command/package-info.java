/** Changes of the durable state and their outcomes. */
package org.cornelcove.model.command;
