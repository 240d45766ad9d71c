/** The operators' command line, {@code geraniumwharf}. */
package org.geraniumwharf.cli;
