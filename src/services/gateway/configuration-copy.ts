import type {Configuration} from '../../interfaces/index.js';
import {RoutingTable} from './routing-table.js';

/** Time after a restore of the store within which its writers write again what the backup lacks, in milliseconds: 2 s are specified, and a lost packet has to be sent again. */
const rewriteMs = 2500;

/** A restore of the store from an older backup. */
type Restoration = {
	/** Version of the store at the first read of the new era; what was written later is not from the backup. */
	readonly upTo: number;
	/** Time of that read, on the monotonic clock in milliseconds. */
	readonly readAt: number;
};

/** What is done with a configuration that was read from the store. */
export type ConfigurationDecision =
	/** It is in force from now on. */
	| 'applied'
	/** It is in force already, or older than the one in force. */
	| 'known'
	/** It comes from an older backup of the store; the newer one stays in force and is expected to be written again. */
	| 'awaited';

/**
 * The configuration in force. A store that is restored from an older backup may
 * hold an older version until the operator has written again; the newer one stays
 * in force, however long that takes, so that a key revoked in the lost seconds
 * stays revoked.
 */
export class ConfigurationCopy {
	#routing: RoutingTable | undefined;
	#restoration: Restoration | undefined;

	/** The configuration in force; undefined until one has been read. */
	get routing(): RoutingTable | undefined {
		return this.#routing;
	}

	/** Called when the store was restored from an older backup; `upTo` is its version at the first read since. */
	restored(upTo: number, now: number): void {
		this.#restoration = this.#routing && {upTo, readAt: now};
	}

	/** Whether a read proves that the copy is current. After a restore it does not until the operator has had time to write again: the store may have lost a version that this gateway never received. */
	isRecovered(now: number): boolean {
		return !this.#restoration || now - this.#restoration.readAt > rewriteMs;
	}

	/** Decides whether a configuration read from the store comes into force; `writtenAt` is the version of the store at which it was written. */
	offer(
		configuration: Configuration,
		writtenAt: number,
	): ConfigurationDecision {
		const current = this.#routing?.configuration;
		if (!current || configuration.version > current.version) {
			this.#apply(configuration, writtenAt);
			return 'applied';
		}

		const restoration = this.#restoration;
		if (!restoration) {
			return 'known';
		}

		const isSame = JSON.stringify(configuration) === JSON.stringify(current);
		const isRewritten = writtenAt > restoration.upTo;
		if (isSame) {
			this.#endRestoration(writtenAt);
			return 'known';
		}

		if (!isRewritten || configuration.version !== current.version) {
			return 'awaited';
		}

		this.#restoration = undefined;
		this.#routing = new RoutingTable(configuration);
		return 'applied';
	}

	#apply(configuration: Configuration, writtenAt: number): void {
		this.#endRestoration(writtenAt);
		this.#routing = new RoutingTable(configuration);
	}

	/** Ends the restoration when the configuration was written after it: the operator has written again. */
	#endRestoration(writtenAt: number): void {
		if (this.#restoration && writtenAt > this.#restoration.upTo) {
			this.#restoration = undefined;
		}
	}
}
