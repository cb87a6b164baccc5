/**
 * Parsing and writing JSON. All errors of a document are collected with their JSON
 * pointers and reported together.
 */
package org.citronrelay.internal.json;
