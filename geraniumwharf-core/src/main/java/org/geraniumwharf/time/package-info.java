/**
 * The time source of the process. Classes that decide by time take the current time as an argument
 * instead of reading a clock.
 */
package org.geraniumwharf.time;
