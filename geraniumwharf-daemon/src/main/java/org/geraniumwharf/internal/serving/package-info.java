/** Handling of one request: admission, target choice, dispatch, retries and streaming. */
package org.geraniumwharf.internal.serving;
