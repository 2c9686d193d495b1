/** Jobs and attempts. */
package org.cornelcove.model.job;
