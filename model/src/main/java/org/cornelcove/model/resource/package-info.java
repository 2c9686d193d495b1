/** Amounts of resources. */
package org.cornelcove.model.resource;
