package org.citronrelay.internal.cluster;

import io.vavr.control.Either;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.VmReport;

/**
 * What others write into the store, and how it is read.
 */
public interface ClusterSources {

	/**
	 * The key of the operators' catalogue of queues.
	 */
	String catalogueKey();

	/**
	 * Reads a version of the catalogue.
	 */
	Either<Findings, QueueCatalogue> catalogue(byte[] document);

	/**
	 * The prefix under which VMs register, before their id.
	 */
	String vmPrefix();

	/**
	 * Reads what a VM registered.
	 */
	Either<Findings, VmReport> vm(String id, byte[] document);

}
