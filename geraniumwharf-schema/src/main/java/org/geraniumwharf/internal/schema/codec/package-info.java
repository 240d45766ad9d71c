/** MessagePack of messages and state, without reflection; most classes are generated. */
package org.geraniumwharf.internal.schema.codec;
