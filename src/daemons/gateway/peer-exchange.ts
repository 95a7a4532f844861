import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import type {Disposable} from '../../base/index.js';
import {
	EngineReservations,
	type PeerLoads,
	type PeerReport,
	type PrefixLink,
	type PrefillNotice,
	type ReservationResult,
	type ReservationNeed,
	type CopyFreshness,
	type Upstream,
} from '../../services/gateway/index.js';
import {splitAddress} from '../listen.js';
import {readSockets} from '../read-sockets.js';
import {monotonicNow} from '../state-machine.js';
import {decodeMessage, encodeMessage} from './peer-messages.js';
import {UnreadableRows} from './unreadable-rows.js';
import {PeerFreshness, type PeerAddress} from './peer-freshness.js';
import {PeerNotices, type PeerNoticesOptions} from './peer-notices.js';

/** Interval between reports of a changed load, in milliseconds for each peer: with more peers each one reports less often, which limits what a gateway receives to a few hundred reports a second. */
const reportIntervalPerPeerMs = 5;

/** Minimum interval between reports, in milliseconds. */
const minReportIntervalMs = 60;

/** Interval between reports of an unchanged load, in milliseconds; peers ignore reports that are older than a second. */
const unchangedReportIntervalMs = 400;

/** Minimum size of a prompt part whose prefill is reported, in tokens; a smaller one takes no longer to prefill again than a report takes to arrive. */
const minReportedTokens = 100;

/** Maximum number of prompt parts in one report, so that it fits a datagram; the rest is left out. */
const maxPrefillsPerReport = 60;

/** Timeout of a reservation request, in milliseconds. The network path takes 1 ms, and a busy gateway on a quarter of a core about 10 ms. */
const reservationTimeoutMs = 60;

export type PeerExchangeOptions = PeerNoticesOptions & {
	/** UDP address on which messages are received. */
	readonly address: string;
	readonly loads: PeerLoads;
	/** A report has updated the known load of the endpoints. */
	readonly onDidReceiveReport: () => void;
	/** A report came from an address that is not among the peers. */
	readonly onDidDiscoverPeer: () => void;
	/** Returns how current this gateway's copies of the store are; undefined until it has read both tables. */
	readonly proof: () => CopyFreshness | undefined;
};

type PendingReservation = {
	readonly number: number;
	readonly timer: NodeJS.Timeout;
	readonly resolve: (result: ReservationResult) => void;
};

/**
 * Task that exchanges UDP datagrams with the other gateways: reports of the work
 * in progress, reservation requests to the gateway that owns an engine, and
 * revalidation requests for the copies of the store.
 */
export class PeerExchange implements Disposable {
	/** Observations about endpoints, shared with the other gateways. */
	readonly notices: PeerNotices;
	/** How current the copies of the store are at the other gateways. */
	readonly freshness: PeerFreshness;
	readonly #options: PeerExchangeOptions;
	readonly #reservations: EngineReservations;
	readonly #socket: Socket;
	/** Senders of datagrams that are not messages. */
	readonly #unreadableMessages: UnreadableRows;
	readonly #incarnation = Date.now();
	/** Source addresses of the gateways' reports, by name. */
	readonly #addresses = new Map<string, PeerAddress>();
	readonly #pendingReservations = new Map<number, PendingReservation>();
	#peers: readonly string[] = [];
	#sequence = 0;
	/** Also rises across restarts: a late answer to the previous process must not complete a request of this one. */
	#lastRequestNumber = Date.now();
	#lastSettledReservation = 0;
	#unreportedPrefills: PrefillNotice[] = [];
	/** Loads and leaving endpoints of the last report, as JSON. */
	#lastReport = '';
	#lastReportAt = 0;
	#timer: NodeJS.Timeout | undefined;
	#consecutiveFailures = 0;

	constructor(options: PeerExchangeOptions) {
		this.#options = options;
		this.#unreadableMessages = new UnreadableRows(
			options.log,
			'peer_message_unreadable',
			'from',
		);
		this.notices = new PeerNotices(options, (bytes) => {
			this.#sendToPeers(bytes);
		});
		this.#reservations = new EngineReservations(
			options.instance,
			options.endpoints,
			options.loads,
			options.rateLimits,
		);
		this.freshness = new PeerFreshness({
			...options,
			addressOf: (name) => this.#addresses.get(name),
			send: (message, {address, port}) => {
				this.#send(encodeMessage(message), address, port);
			},
		});
		this.#socket = createSocket('udp4');
		this.#socket.on('message', (message, from) => {
			this.#receive(message, from);
		});
		this.#socket.on('error', (error) => {
			options.log.warn('peer_exchange_failed', {reason: String(error)});
		});
	}

	start(): void {
		const {host, port} = splitAddress(this.#options.address);
		this.#socket.bind(port, host);
		this.#scheduleReport();
	}

	/** Sets the gateways that get reports; the address of this one is left out. */
	setPeers(addresses: readonly string[]): void {
		this.#peers = addresses.filter(
			(address) => address !== this.#options.address,
		);
		this.freshness.setPeers(this.#peers);
	}

	/** Adds the prompt parts that an engine prefills for this gateway to the next report. */
	queuePrefillNotices(
		{key}: Upstream,
		links: readonly PrefixLink[],
		isDone: boolean,
	): void {
		for (const {hash, tokens} of links) {
			if (
				tokens >= minReportedTokens &&
				this.#unreportedPrefills.length < maxPrefillsPerReport
			) {
				this.#unreportedPrefills.push({endpoint: key, hash, tokens, isDone});
			}
		}
	}

	/** Returns the gateway that owns an engine and must grant its capacity; undefined when this gateway decides by its own estimate. */
	owner(upstream: Upstream, uncachedTokens: number): PeerAddress | undefined {
		const name = this.#reservations.owner(
			upstream,
			uncachedTokens,
			monotonicNow(),
		);
		return name === undefined ? undefined : this.#addresses.get(name);
	}

	/** Returns the gateway that owns an engine, also for a request without a prompt to prefill; undefined when this one does. */
	ownerOf(upstream: Upstream): PeerAddress | undefined {
		const name = this.#reservations.ownerOf(upstream, monotonicNow());
		return name === undefined ? undefined : this.#addresses.get(name);
	}

	/** Reserves capacity at an engine for which no other gateway decides; returns false when there is none. */
	reserve(upstream: Upstream, need: ReservationNeed): boolean {
		const now = monotonicNow();
		const result = this.#reservations.reserve(upstream, need, now);
		if (result.type === 'full' || result.type === 'limited') {
			this.#reservations.applyResult(
				upstream,
				need.uncachedTokens,
				result,
				now,
			);
		}

		return result.type === 'granted';
	}

	/** Whether this gateway owns an engine and grants its capacity. */
	owns(upstream: Upstream): boolean {
		return this.#reservations.owns(upstream, monotonicNow());
	}

	/** Sends a reservation request to the gateway that owns an engine; resolves to whether the prompt may be sent there. */
	async ask(
		{address, port}: PeerAddress,
		upstream: Upstream,
		{uncachedTokens, kvCacheTokens, rank}: ReservationNeed,
	): Promise<boolean> {
		this.#lastRequestNumber++;
		const number = this.#lastRequestNumber;
		this.#send(
			encodeMessage({
				type: 'ask',
				gateway: this.#options.instance,
				number,
				endpoint: upstream.key,
				unreadTokens: uncachedTokens,
				rank,
				kvCacheTokens,
			}),
			address,
			port,
		);
		upstream.beginReservation(uncachedTokens);
		const result = await new Promise<ReservationResult>((resolve) => {
			const timer = setTimeout(() => {
				void this.#expireReservation(number);
			}, reservationTimeoutMs);
			this.#pendingReservations.set(number, {number, timer, resolve});
		});
		upstream.endReservation(uncachedTokens);
		this.#options.metrics.reservationAnswered(result.type);
		return this.#reservations.applyResult(
			upstream,
			uncachedTokens,
			result,
			monotonicNow(),
			rank,
		);
	}

	dispose(): void {
		clearTimeout(this.#timer);
		this.notices.dispose();
		this.#addresses.clear();
		this.freshness.dispose();
		for (const {number} of this.#pendingReservations.values()) {
			this.#completeReservation(number, {type: 'unanswered'});
		}

		this.#socket.close();
	}

	/** Gives up a reservation, unless its answer has arrived while this process was busy. */
	async #expireReservation(number: number): Promise<void> {
		await readSockets();
		this.#completeReservation(number, {type: 'unanswered'});
	}

	#completeReservation(number: number, result: ReservationResult): void {
		const pending = this.#pendingReservations.get(number);
		if (pending) {
			this.#pendingReservations.delete(number);
			clearTimeout(pending.timer);
			this.#lastSettledReservation = Math.max(
				this.#lastSettledReservation,
				number,
			);
			pending.resolve(result);
		}
	}

	#scheduleReport(): void {
		this.#timer = setTimeout(
			() => {
				this.#sendReport();
				this.notices.sendRateLimits();
				this.notices.sendCrashes();
				this.notices.sendHealth();
				this.notices.sendContention(this.#peers.length);
				this.#scheduleReport();
			},
			Math.max(
				minReportIntervalMs,
				reportIntervalPerPeerMs * this.#peers.length,
			),
		);
	}

	#sendReport(): void {
		const loads = this.#options.endpoints
			.all()
			.filter((upstream) => upstream.ownRunning > 0)
			.map((upstream) => ({
				endpoint: upstream.key,
				running: upstream.ownRunning,
				unreadTokens: Math.round(upstream.ownUnreadTokens()),
			}));
		const now = monotonicNow();
		const leavingEndpoints = this.#options.endpoints.leavingEndpoints(now);
		const text = JSON.stringify([loads, leavingEndpoints]);
		const kept = this.#reservations.kept(now);
		if (
			kept.length === 0 &&
			this.#unreportedPrefills.length === 0 &&
			text === this.#lastReport &&
			now - this.#lastReportAt < unchangedReportIntervalMs
		) {
			return;
		}

		this.#lastReport = text;
		this.#lastReportAt = now;
		this.#sequence++;
		const bytes = encodeMessage({
			type: 'report',
			gateway: this.#options.instance,
			sequence: this.#sequence,
			incarnation: this.#incarnation,
			settledReservation: this.#lastSettledReservation,
			loads,
			prefills: this.#unreportedPrefills,
			kept,
			leavingEndpoints,
		});
		this.#unreportedPrefills = [];
		this.#sendToPeers(bytes);
	}

	#sendToPeers(bytes: Uint8Array): void {
		for (const peer of this.#peers) {
			const {host, port} = splitAddress(peer);
			this.#send(bytes, host, port);
		}
	}

	#send(bytes: Uint8Array, host: string, port: number): void {
		this.#socket.send(bytes, port, host, (error) => {
			this.#logSendResult(error);
		});
	}

	/** Logs one line when sending begins to fail and one when it works again. */
	#logSendResult(error: Error | null): void {
		if (error && this.#consecutiveFailures === 0) {
			this.#options.log.warn('peer_report_failed', {reason: error.message});
		} else if (!error && this.#consecutiveFailures > 0) {
			this.#options.log.info('peer_report_sent', {
				after: this.#consecutiveFailures,
			});
		}

		this.#consecutiveFailures = error ? this.#consecutiveFailures + 1 : 0;
	}

	#applyLeavingEndpoints({gateway, leavingEndpoints}: PeerReport): void {
		const {endpoints, log, metrics} = this.#options;
		for (const {id} of endpoints.applyLeavingEndpoints(leavingEndpoints)) {
			metrics.leaving('peer');
			log.info('endpoint_leaving_said', {endpoint: id, by: gateway});
		}
	}

	#receive(bytes: Uint8Array, from: RemoteInfo): void {
		const message = decodeMessage(bytes);
		const now = monotonicNow();
		switch (message?.type) {
			case undefined: {
				this.#unreadableMessages.add({
					id: `${from.address}:${from.port}`,
					reason: 'not a message of this version',
				});
				break;
			}

			case 'report': {
				if (this.#options.loads.receive(message, now)) {
					this.#addresses.set(message.gateway, from);
					this.#options.endpoints.applyPrefillNotices(message.prefills, now);
					this.#options.endpoints.applyOwnedBacklogs(message.kept, now);
					this.#applyLeavingEndpoints(message);
					this.#options.onDidReceiveReport();
					if (!this.#peers.includes(`${from.address}:${from.port}`)) {
						this.#options.onDidDiscoverPeer();
					}
				}

				break;
			}

			case 'rate limits': {
				this.notices.applyRateLimits(message.gateway, message.notices, now);
				break;
			}

			case 'crashes': {
				this.notices.applyCrashes(message.notices, now);
				break;
			}

			case 'health': {
				this.#options.endpoints.applyHealthNotices(message.notices, now);
				break;
			}

			case 'contention': {
				this.#options.contention.receive(message, now);
				break;
			}

			case 'ask': {
				const answer = this.#reservations.decide(message, now);
				this.#send(
					encodeMessage({type: 'answer', number: message.number, answer}),
					from.address,
					from.port,
				);
				break;
			}

			case 'answer': {
				this.#completeReservation(message.number, message.answer);
				break;
			}

			case 'proof ask': {
				this.freshness.answer(message.number, from);
				break;
			}

			case 'proof': {
				this.freshness.receive(message.number, message.proof);
				break;
			}
		}
	}
}
