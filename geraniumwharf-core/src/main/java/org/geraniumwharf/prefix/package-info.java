/** Names of context pieces and an index of the targets that are expected to hold them. */
package org.geraniumwharf.prefix;
