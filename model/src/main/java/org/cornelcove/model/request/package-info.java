/** Requests and their answers. */
package org.cornelcove.model.request;
