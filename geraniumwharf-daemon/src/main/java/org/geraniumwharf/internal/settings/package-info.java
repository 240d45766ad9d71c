/** Settings read from an INI file and checked against their schema. */
package org.geraniumwharf.internal.settings;
