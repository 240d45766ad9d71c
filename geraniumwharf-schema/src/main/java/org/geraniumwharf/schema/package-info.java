/**
 * Messages, settings and published objects: their JSON Schemas, the records generated from them,
 * and the codec that reads and writes both JSON and MessagePack.
 */
package org.geraniumwharf.schema;
