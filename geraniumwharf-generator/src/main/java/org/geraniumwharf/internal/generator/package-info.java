/** Translation of one JSON Schema definition into one Java record, enum or sealed interface. */
package org.geraniumwharf.internal.generator;
