/**
 * Communication between entry processes: calls with timeouts, as MessagePack in
 * length-prefixed frames over TCP, and a table of the known peers.
 */
package org.citronrelay.internal.peer;
