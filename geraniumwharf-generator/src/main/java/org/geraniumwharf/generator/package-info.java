/** Command that writes the committed Java types from the JSON Schemas; never part of the build. */
package org.geraniumwharf.generator;
