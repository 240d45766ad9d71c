/** Order and contents of the announcements of targets. */
package org.geraniumwharf.announcement;
