/** Age above which a peer's report is ignored, in milliseconds: several reports have been lost, or the peer is down. */
const staleMs = 1000;

/** Work that one gateway has in progress at one endpoint. */
export type EndpointLoad = {
	readonly endpoint: string;
	/** Requests in progress. */
	readonly running: number;
	/** Prompt tokens that the engine has still to read. */
	readonly unreadTokens: number;
};

/** Prompt part that an engine begins to read for a gateway, or has read. */
export type ReadNotice = {
	readonly endpoint: string;
	/** Hash of the prompt's leading parts. */
	readonly hash: number;
	readonly tokens: number;
	readonly isDone: boolean;
};

/** What one gateway tells the others. */
export type PeerReport = {
	readonly gateway: string;
	/** Rises with each report of one incarnation of the gateway. */
	readonly sequence: number;
	/** Start of the gateway's process, Unix time in milliseconds. */
	readonly incarnation: number;
	readonly loads: readonly EndpointLoad[];
	/** Since the last report. */
	readonly reads: readonly ReadNotice[];
};

type Heard = {readonly report: PeerReport; readonly at: number};

/** Latest load reports of the other gateways. Reports may be lost, late and out of order; an old one never replaces a newer one. */
export class PeerLoads {
	readonly #heard = new Map<string, Heard>();
	#sums = new Map<string, {running: number; unreadTokens: number}>();
	#summedAt = Number.NEGATIVE_INFINITY;

	/** Returns false for a report that is older than one already known. */
	receive(report: PeerReport, now: number): boolean {
		const known = this.#heard.get(report.gateway)?.report;
		const isOld =
			known &&
			(report.incarnation < known.incarnation ||
				(report.incarnation === known.incarnation &&
					report.sequence <= known.sequence));
		if (isOld) {
			return false;
		}

		this.#heard.set(report.gateway, {report, at: now});
		this.#summedAt = Number.NEGATIVE_INFINITY;
		return true;
	}

	/** Gateways heard of lately, without this one. */
	count(now: number): number {
		this.#sum(now);
		return this.#heard.size;
	}

	/** Work of all other gateways at an endpoint. */
	at(endpoint: string, now: number): {running: number; unreadTokens: number} {
		this.#sum(now);
		return this.#sums.get(endpoint) ?? {running: 0, unreadTokens: 0};
	}

	/** Sums are renewed when a report comes, and often enough to drop stale ones. */
	#sum(now: number): void {
		if (now - this.#summedAt < staleMs / 10) {
			return;
		}

		this.#summedAt = now;
		this.#sums = new Map();
		for (const [gateway, {report, at}] of this.#heard) {
			if (now - at > staleMs) {
				this.#heard.delete(gateway);
				continue;
			}

			for (const {endpoint, running, unreadTokens} of report.loads) {
				const sum = this.#sums.get(endpoint) ?? {running: 0, unreadTokens: 0};
				sum.running += running;
				sum.unreadTokens += unreadTokens;
				this.#sums.set(endpoint, sum);
			}
		}
	}
}
