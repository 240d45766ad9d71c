/** Error kinds and the exception that carries them to the response. */
package org.geraniumwharf.error;
