/** Identifiers. */
package org.cornelcove.model.id;
