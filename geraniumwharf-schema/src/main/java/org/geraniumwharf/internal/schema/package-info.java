/** Lookup of the schema definitions on the class path. */
package org.geraniumwharf.internal.schema;
