/**
 * Links between entry processes: MessagePack in length-prefixed frames over TCP, a table
 * of the peers that were heard, and calls with a bounded wait.
 */
package org.citronrelay.internal.peer;
