/** Error kinds and failures. */
package org.cornelcove.model.error;
