/** Structured log events of key=value pairs, protected against log injection. */
package org.geraniumwharf.logging;
