package org.citronrelay.internal.cluster;

import io.vavr.control.Either;
import org.citronrelay.Findings;
import org.citronrelay.internal.batch.QueueCatalogue;
import org.citronrelay.internal.batch.VmRegistration;

/**
 * Locates and reads the records that other systems write into the store: the operators'
 * catalogue and the registrations of VMs.
 */
public interface ExternalRecordReader {

	/**
	 * Returns the key of the operators' catalogue of queues.
	 */
	String catalogueKey();

	/**
	 * Reads a version of the catalogue.
	 */
	Either<Findings, QueueCatalogue> catalogue(byte[] document);

	/**
	 * Returns the prefix of VM registrations; the id of the VM follows it.
	 */
	String vmPrefix();

	/**
	 * Reads the registration of a VM.
	 */
	Either<Findings, VmRegistration> vm(String id, byte[] document);

}
