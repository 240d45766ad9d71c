/** One class for each command, and what the commands share. */
package org.geraniumwharf.internal.cli;
