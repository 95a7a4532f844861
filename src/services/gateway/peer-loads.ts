import {hash32} from '../../base/index.js';
import type {LeavingEndpoint} from './endpoint-set.js';
import type {Backlog} from './prefill-estimate.js';

/** Age in milliseconds above which a peer's report is ignored: several later ones were lost, or the peer is down. */
const maxReportAgeMs = 1000;

/** Requests that one gateway has in progress at one endpoint. */
export type EndpointLoad = {
	/** Key of the endpoint. */
	readonly endpoint: number;
	/** Requests in progress. */
	readonly running: number;
	/** Prompt tokens awaiting prefill at the engine. */
	readonly unreadTokens: number;
};

/** Prompt part whose prefill for a request of the reporting gateway has begun or is done. */
export type PrefillNotice = {
	/** Key of the endpoint. */
	readonly endpoint: number;
	/** Hash of the prompt's leading parts up to this one. */
	readonly hash: number;
	readonly tokens: number;
	readonly isDone: boolean;
};

/** Prefill backlog of an engine, as reported by the gateway that owns it. */
export type OwnedBacklog = Backlog & {
	/** Key of the endpoint. */
	readonly endpoint: number;
};

/** Datagram that a gateway regularly sends to all others. */
export type PeerReport = {
	readonly gateway: string;
	/** Increases with each report of one incarnation of the gateway. */
	readonly sequence: number;
	/** Start of the gateway's process, Unix time in milliseconds. */
	readonly incarnation: number;
	readonly loads: readonly EndpointLoad[];
	/** Number of the gateway's latest reservation that `loads` includes or that has been dropped. */
	readonly settledReservation: number;
	/** Prefills begun or completed since the last report. */
	readonly prefills: readonly PrefillNotice[];
	/** Backlogs of the engines that the gateway owns. */
	readonly kept: readonly OwnedBacklog[];
	/** Endpoints that take no new requests. */
	readonly leavingEndpoints: readonly LeavingEndpoint[];
};

/** Capacity at an endpoint that a gateway was granted; it counts until the gateway's reports include the request. */
export type Reservation = {
	readonly gateway: string;
	/** Increases with each reservation of one incarnation of the gateway. */
	readonly number: number;
	/** Key of the endpoint. */
	readonly endpoint: number;
	readonly unreadTokens: number;
};

type ReceivedReport = {readonly report: PeerReport; readonly at: number};

/** Holds the latest load report of each other gateway. Reports may be lost, delayed or reordered; an older one never replaces a newer one. */
export class PeerLoads {
	readonly #reports = new Map<string, ReceivedReport>();
	#reservations: Array<{
		readonly reservation: Reservation;
		readonly at: number;
	}> = [];

	/** Data centres of the gateways that have said where they are, by name. */
	readonly #dataCentres = new Map<string, string>();
	readonly #nameHashes = new Map<string, number>();
	#sums = new Map<number, {running: number; unreadTokens: number}>();
	#summedAt = Number.NEGATIVE_INFINITY;

	/** Applies a report; returns false if it is not newer than the latest one of the same gateway. */
	receive(report: PeerReport, now: number): boolean {
		const latest = this.#reports.get(report.gateway)?.report;
		const isOld =
			latest &&
			(report.incarnation < latest.incarnation ||
				(report.incarnation === latest.incarnation &&
					report.sequence <= latest.sequence));
		if (isOld) {
			return false;
		}

		this.#reports.set(report.gateway, {report, at: now});
		if (!latest) {
			this.#nameHashes.set(report.gateway, hash32(report.gateway));
		}

		this.#reservations = this.#reservations.filter(
			({reservation: {gateway, number}}) =>
				gateway !== report.gateway || number > report.settledReservation,
		);
		this.#summedAt = Number.NEGATIVE_INFINITY;
		return true;
	}

	/** Counts a request of another gateway until its reports include it. */
	reserve(reservation: Reservation, now: number): void {
		this.#reservations.push({reservation, at: now});
		this.#summedAt = Number.NEGATIVE_INFINITY;
	}

	/** Number of other gateways with a recent report. */
	count(now: number): number {
		this.#refreshSums(now);
		return this.#reports.size;
	}

	/** Records the data centre of another gateway that reports. */
	locate(gateway: string, dataCentre: string): void {
		if (this.#reports.has(gateway)) {
			this.#dataCentres.set(gateway, dataCentre);
		}
	}

	/** Whether a gateway of a data centre has reported lately; one that has not said where it is may be there. */
	hears(dataCentre: string, now: number): boolean {
		this.#refreshSums(now);
		return [...this.#reports.keys()].some(
			(name) => (this.#dataCentres.get(name) ?? dataCentre) === dataCentre,
		);
	}

	/** Names of the other gateways with a recent report, and the hashes of the names. */
	nameHashes(now: number): ReadonlyMap<string, number> {
		this.#refreshSums(now);
		return this.#nameHashes;
	}

	/** Total load of all other gateways at an endpoint. */
	at(endpoint: number, now: number): {running: number; unreadTokens: number} {
		this.#refreshSums(now);
		return this.#sums.get(endpoint) ?? {running: 0, unreadTokens: 0};
	}

	/** Recomputes the sums after a change, and often enough to leave out stale reports. */
	#refreshSums(now: number): void {
		if (now - this.#summedAt < maxReportAgeMs / 10) {
			return;
		}

		this.#summedAt = now;
		this.#sums = new Map();
		for (const [gateway, {report, at}] of this.#reports) {
			if (now - at > maxReportAgeMs) {
				this.#reports.delete(gateway);
				this.#nameHashes.delete(gateway);
				this.#dataCentres.delete(gateway);
				continue;
			}

			for (const {endpoint, running, unreadTokens} of report.loads) {
				this.#add(endpoint, running, unreadTokens);
			}
		}

		this.#reservations = this.#reservations.filter(
			({at}) => now - at <= maxReportAgeMs,
		);
		for (const {reservation} of this.#reservations) {
			this.#add(reservation.endpoint, 1, reservation.unreadTokens);
		}
	}

	#add(endpoint: number, running: number, unreadTokens: number): void {
		const sum = this.#sums.get(endpoint) ?? {running: 0, unreadTokens: 0};
		sum.running += running;
		sum.unreadTokens += unreadTokens;
		this.#sums.set(endpoint, sum);
	}
}
