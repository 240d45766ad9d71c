/** Rules that hold between the objects of one set. */
package org.geraniumwharf.internal.configuration;
