/** Parts that the HTTP edges share: the bounded server, bodies, credentials and error answers. */
package org.geraniumwharf.internal.http;
