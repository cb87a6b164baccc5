/**
 * The machinery, grouped by the stage of the pipeline that it serves. Nothing here is
 * public surface.
 */
package org.citronrelay.internal;
