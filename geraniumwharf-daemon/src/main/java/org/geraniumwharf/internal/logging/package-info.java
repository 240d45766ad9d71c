/** Events written through Log4j 2. */
package org.geraniumwharf.internal.logging;
