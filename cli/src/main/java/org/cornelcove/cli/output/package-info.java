/** Tables, JSON, errors and exit codes. */
package org.cornelcove.cli.output;
