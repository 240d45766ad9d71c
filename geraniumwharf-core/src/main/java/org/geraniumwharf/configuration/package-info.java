/** The published set of named objects: validation, differences between sets, and lookups. */
package org.geraniumwharf.configuration;
