/** Identifiers, resources, rules, commands and error kinds. */
package org.cornelcove.model;
