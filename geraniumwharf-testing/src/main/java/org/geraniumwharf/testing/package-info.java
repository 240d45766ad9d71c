/** Stand-ins for the systems around geraniumwharf, as plain processes; never shipped with it. */
package org.geraniumwharf.testing;
