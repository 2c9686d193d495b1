/** The operators' rules after merging. */
package org.cornelcove.model.rule;
