import type {EndpointSet} from '../../services/gateway/index.js';
import {encodeMessage} from './peer-messages.js';

/** Interval at which a gateway says in which data centre it is, in milliseconds: a gateway that starts takes the others for near until then. */
const intervalMs = 2000;

export type PeerLocationsOptions = {
	/** Name of this gateway. */
	readonly instance: string;
	/** Data centre of this gateway. */
	readonly dataCentre: string;
	readonly endpoints: EndpointSet;
};

/** Knows in which data centres the other gateways are, by their addresses. A gateway that has not said so counts as one of this data centre. */
export class PeerLocations {
	readonly #options: PeerLocationsOptions;
	readonly #dataCentres = new Map<string, string>();
	#sentAt = Number.NEGATIVE_INFINITY;

	constructor(options: PeerLocationsOptions) {
		this.#options = options;
	}

	set(address: string, dataCentre: string): void {
		this.#dataCentres.set(address, dataCentre);
	}

	/** Forgets the gateways that no longer run. */
	retain(addresses: readonly string[]): void {
		for (const address of this.#dataCentres.keys()) {
			if (!addresses.includes(address)) {
				this.#dataCentres.delete(address);
			}
		}
	}

	/** Whether a gateway has said that it is in another data centre. */
	isFar(address: string): boolean {
		const {dataCentre} = this.#options;
		return (this.#dataCentres.get(address) ?? dataCentre) !== dataCentre;
	}

	/** Message by which this gateway says where it is; undefined when it is not due, or all endpoints are in one data centre. */
	message(now: number): Uint8Array | undefined {
		const {instance, dataCentre, endpoints} = this.#options;
		if (
			now - this.#sentAt < intervalMs ||
			endpoints.all().every(({listed}) => listed.dataCentre === dataCentre)
		) {
			return undefined;
		}

		this.#sentAt = now;
		return encodeMessage({type: 'location', gateway: instance, dataCentre});
	}
}
