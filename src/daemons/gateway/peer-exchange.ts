import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import type {Disposable} from '../../base/index.js';
import {
	RoomBook,
	type EndpointSet,
	type PeerLoads,
	type PeerReport,
	type PrefixLink,
	type ReadNotice,
	type RoomAnswer,
	type RoomNeed,
	type CopyProof,
	isYoung,
	StoreReaders,
	type Upstream,
} from '../../services/gateway/index.js';
import {splitAddress} from '../listen.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../task.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import {decodeMessage, encodeMessage} from './peer-messages.js';

/** Time between two reports of a changed load, in milliseconds, for each peer; bounds what a gateway receives to some hundred reports a second. */
const periodPerPeerMs = 5;

/** Least time between two reports, in milliseconds. */
const minPeriodMs = 60;

/** Time after which an unchanged load is reported again, in milliseconds; peers ignore reports that are older than a second. */
const repeatMs = 400;

/** Smallest prompt part of which the peers are told, in tokens; less is read again as fast as a report comes. */
const minToldTokens = 100;

/** Prompt parts in one report at most, so that it fits a datagram; the rest is left out. */
const maxReads = 60;

/** Time for which an answer about room is waited for, in milliseconds: a path takes 1 ms, and a busy gateway on a quarter of a core some ten. */
const askTimeoutMs = 60;

/** Time for which another gateway's proof is waited for, in milliseconds; afterwards the store is read instead. */
const proofTimeoutMs = 100;

/** Time for which a gateway without a young proof is not asked again, in milliseconds. */
const shunMs = 3000;

/** Time after a question for which this gateway counts as one that others ask, in milliseconds. */
const followedMs = 3000;

export type PeerExchangeOptions = {
	/** Name of this gateway. */
	readonly instance: string;
	/** Address on which messages are received. */
	readonly address: string;
	readonly endpoints: EndpointSet;
	readonly loads: PeerLoads;
	readonly log: Log;
	readonly metrics: GatewayMetrics;
	/** A report has changed what is known of the endpoints' load. */
	readonly onDidHear: () => void;
	/** A gateway was heard whose address is not among the peers. */
	readonly onDidMeet: () => void;
	/** What this gateway holds of the store; undefined until it has read everything. */
	readonly proof: () => CopyProof | undefined;
};

/** Where the gateway that keeps an engine's book hears the others. */
export type Keeper = {readonly address: string; readonly port: number};

type Ask = {
	readonly number: number;
	readonly timer: NodeJS.Timeout;
	readonly resolve: (answer: RoomAnswer) => void;
};

/**
 * Task that tells the other gateways, by datagrams, what work this one has in
 * progress, hears theirs, and asks and answers whether an engine has room.
 */
export class PeerExchange implements Disposable {
	readonly #options: PeerExchangeOptions;
	readonly #book: RoomBook;
	readonly #socket: Socket;
	readonly #incarnation = Date.now();
	/** Addresses from which the gateways were heard, by name. */
	readonly #addresses = new Map<string, Keeper>();
	readonly #asks = new Map<number, Ask>();
	readonly #readers: StoreReaders;
	readonly #proofAsks = new Map<
		number,
		(proof: CopyProof | undefined) => void
	>();

	/** Moments until which gateways are not asked for proofs. */
	readonly #shunned = new Map<string, number>();
	#peers: readonly string[] = [];
	#sequence = 0;
	/** Rises over restarts as well: a late answer to the process before must not settle a question of this one. */
	#askNumber = Date.now();
	#settled = 0;
	#reads: ReadNotice[] = [];
	/** Loads and leavers of the last report, as text. */
	#lastTold = '';
	#lastSentAt = 0;
	#timer: NodeJS.Timeout | undefined;
	#failures = 0;
	#proofAskedAt = Number.NEGATIVE_INFINITY;

	constructor(options: PeerExchangeOptions) {
		this.#options = options;
		this.#book = new RoomBook(
			options.instance,
			options.endpoints,
			options.loads,
		);
		this.#readers = new StoreReaders(options.instance);
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
		this.#schedule();
	}

	/** Addresses of the other gateways. */
	setPeers(addresses: readonly string[]): void {
		this.#peers = addresses.filter(
			(address) => address !== this.#options.address,
		);
	}

	/** Notes what this gateway makes an engine read, for the next report. */
	noteReads(
		{key}: Upstream,
		links: readonly PrefixLink[],
		isDone: boolean,
	): void {
		for (const {hash, tokens} of links) {
			if (tokens >= minToldTokens && this.#reads.length < maxReads) {
				this.#reads.push({endpoint: key, hash, tokens, isDone});
			}
		}
	}

	/** Where to ask for room at an engine; undefined when the own view stands. */
	keeper(upstream: Upstream, uncachedTokens: number): Keeper | undefined {
		const name = this.#book.keeper(upstream, uncachedTokens, monotonicNow());
		return name === undefined ? undefined : this.#addresses.get(name);
	}

	/** Takes room where no other gateway has to be asked; returns false when there is none. */
	take(upstream: Upstream, need: RoomNeed): boolean {
		const now = monotonicNow();
		const answer = this.#book.take(upstream, need, now);
		if (answer.type === 'full') {
			this.#book.heed(upstream, need.uncachedTokens, answer, now);
		}

		return answer.type === 'granted';
	}

	/** Whether this gateway decides about room at an engine. */
	keeps(upstream: Upstream): boolean {
		return this.#book.keeps(upstream, monotonicNow());
	}

	/** Asks the gateway that keeps an engine's book for room; resolves to false when there is none. */
	async ask(
		{address, port}: Keeper,
		upstream: Upstream,
		{uncachedTokens, memoryTokens, rank}: RoomNeed,
	): Promise<boolean> {
		this.#askNumber++;
		const number = this.#askNumber;
		this.#send(
			encodeMessage({
				type: 'ask',
				gateway: this.#options.instance,
				number,
				endpoint: upstream.key,
				unreadTokens: uncachedTokens,
				rank,
				memoryTokens,
			}),
			address,
			port,
		);
		upstream.beginAsk(uncachedTokens);
		const answer = await new Promise<RoomAnswer>((resolve) => {
			const timer = setTimeout(() => {
				this.#settle(number, {type: 'unanswered'});
			}, askTimeoutMs);
			this.#asks.set(number, {number, timer, resolve});
		});
		upstream.settleAsk(uncachedTokens);
		this.#options.metrics.roomAnswered(answer.type);
		return this.#book.heed(upstream, uncachedTokens, answer, monotonicNow());
	}

	/** Other gateways ask this one what it has read from the store. */
	get hasFollowers(): boolean {
		return monotonicNow() - this.#proofAskedAt < followedMs;
	}

	/** Asks a gateway that reads the store what it holds; resolves to undefined when this one is to read itself, or without an answer. */
	async askProof(): Promise<CopyProof | undefined> {
		const name = this.#readers.toAsk(this.#trusted());
		const reader = name === undefined ? undefined : this.#addresses.get(name);
		if (name === undefined || !reader) {
			return undefined;
		}

		const proof = await this.#askProofOf(reader);
		if (!proof || !isYoung(proof)) {
			this.#shunned.set(name, monotonicNow() + shunMs);
		}

		return proof;
	}

	async #askProofOf(reader: Keeper): Promise<CopyProof | undefined> {
		this.#askNumber++;
		const number = this.#askNumber;
		return new Promise((resolve) => {
			const timer = setTimeout(() => {
				this.#proofAsks.get(number)?.(undefined);
			}, proofTimeoutMs);
			this.#proofAsks.set(number, (proof) => {
				clearTimeout(timer);
				this.#proofAsks.delete(number);
				resolve(proof);
			});
			const question = encodeMessage({type: 'proof ask', number});
			this.#send(question, reader.address, reader.port);
		});
	}

	dispose(): void {
		clearTimeout(this.#timer);
		this.#addresses.clear();
		for (const resolve of this.#proofAsks.values()) {
			resolve(undefined);
		}

		for (const {number} of this.#asks.values()) {
			this.#settle(number, {type: 'unanswered'});
		}

		this.#socket.close();
	}

	/** Gateways heard of lately, without those that had no young proof. */
	#trusted(): ReadonlyMap<string, number> {
		const now = monotonicNow();
		for (const [name, until] of this.#shunned) {
			if (until <= now) {
				this.#shunned.delete(name);
			}
		}

		const heard = this.#options.loads.nameHashes(now);
		return this.#shunned.size === 0
			? heard
			: new Map([...heard].filter(([name]) => !this.#shunned.has(name)));
	}

	#settle(number: number, answer: RoomAnswer): void {
		const ask = this.#asks.get(number);
		if (ask) {
			this.#asks.delete(number);
			clearTimeout(ask.timer);
			this.#settled = Math.max(this.#settled, number);
			ask.resolve(answer);
		}
	}

	#schedule(): void {
		this.#timer = setTimeout(
			() => {
				this.#report();
				this.#schedule();
			},
			Math.max(minPeriodMs, periodPerPeerMs * this.#peers.length),
		);
	}

	#report(): void {
		const loads = this.#options.endpoints
			.all()
			.filter((upstream) => upstream.ownRunning > 0)
			.map((upstream) => ({
				endpoint: upstream.key,
				running: upstream.ownRunning,
				unreadTokens: Math.round(upstream.ownUnreadTokens()),
			}));
		const now = monotonicNow();
		const leavers = this.#options.endpoints.leavers(now);
		const text = JSON.stringify([loads, leavers]);
		const kept = this.#book.kept(now);
		if (
			kept.length === 0 &&
			this.#reads.length === 0 &&
			text === this.#lastTold &&
			now - this.#lastSentAt < repeatMs
		) {
			return;
		}

		this.#lastTold = text;
		this.#lastSentAt = now;
		this.#sequence++;
		const bytes = encodeMessage({
			type: 'report',
			gateway: this.#options.instance,
			sequence: this.#sequence,
			incarnation: this.#incarnation,
			settled: this.#settled,
			loads,
			reads: this.#reads,
			kept,
			leavers,
		});
		this.#reads = [];
		for (const peer of this.#peers) {
			const {host, port} = splitAddress(peer);
			this.#send(bytes, host, port);
		}
	}

	#send(bytes: Uint8Array, host: string, port: number): void {
		this.#socket.send(bytes, port, host, (error) => {
			this.#note(error);
		});
	}

	/** One line when messages begin to fail and one when they are sent again. */
	#note(error: Error | null): void {
		if (error && this.#failures === 0) {
			this.#options.log.warn('peer_report_failed', {reason: error.message});
		} else if (!error && this.#failures > 0) {
			this.#options.log.info('peer_report_sent', {after: this.#failures});
		}

		this.#failures = error ? this.#failures + 1 : 0;
	}

	#noteLeavers({gateway, leavers}: PeerReport): void {
		const {endpoints, log, metrics} = this.#options;
		for (const {id} of endpoints.noteLeavers(leavers)) {
			metrics.leaving('peer');
			log.info('endpoint_leaving_said', {endpoint: id, by: gateway});
		}
	}

	#receive(bytes: Uint8Array, from: RemoteInfo): void {
		const message = decodeMessage(bytes);
		const now = monotonicNow();
		switch (message?.type) {
			case undefined: {
				this.#options.log.warn('peer_message_unreadable', {
					bytes: bytes.length,
				});
				break;
			}

			case 'report': {
				if (this.#options.loads.receive(message, now)) {
					this.#addresses.set(message.gateway, from);
					this.#options.endpoints.noteReads(message.reads, now);
					this.#options.endpoints.noteKept(message.kept, now);
					this.#noteLeavers(message);
					this.#options.onDidHear();
					if (!this.#peers.includes(`${from.address}:${from.port}`)) {
						this.#options.onDidMeet();
					}
				}

				break;
			}

			case 'ask': {
				const answer = this.#book.decide(message, now);
				this.#send(
					encodeMessage({type: 'answer', number: message.number, answer}),
					from.address,
					from.port,
				);
				break;
			}

			case 'answer': {
				this.#settle(message.number, message.answer);
				break;
			}

			case 'proof ask': {
				this.#proofAskedAt = now;
				const proof = this.#options.proof();
				if (proof) {
					const {number} = message;
					this.#send(
						encodeMessage({type: 'proof', number, proof}),
						from.address,
						from.port,
					);
				}

				break;
			}

			case 'proof': {
				this.#proofAsks.get(message.number)?.(message.proof);
				break;
			}
		}
	}
}
