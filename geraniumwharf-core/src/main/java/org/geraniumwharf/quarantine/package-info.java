/**
 * Prompt parts that make targets crash: which ones are suspected, and which ones are refused before
 * they reach another target.
 */
package org.geraniumwharf.quarantine;
