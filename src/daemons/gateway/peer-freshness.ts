import {setTimeout as delay} from 'node:timers/promises';
import type {Disposable} from '../../base/index.js';
import {
	isRecent,
	StoreReaders,
	type CopyFreshness,
	type PeerLoads,
} from '../../services/gateway/index.js';
import {splitAddress} from '../listen.js';
import {readSockets} from '../read-sockets.js';
import {monotonicNow} from '../state-machine.js';
import type {PeerMessage} from './peer-messages.js';

/** Timeout of a revalidation request, in milliseconds; after it the store is read instead. */
const timeoutMs = 100;

/** Number of other gateways that are asked for their versions of the configuration. */
const maxAskedPeers = 8;

/** Time to wait for the first list of the other gateways before they are asked, in milliseconds. */
const firstPeersTimeoutMs = 1000;

/** Time for which a gateway without a recent confirmation gets no further revalidation requests, in milliseconds. */
const peerBackoffMs = 3000;

/** Time after a revalidation request from another gateway for which this one counts as having followers, in milliseconds. */
const followerTimeoutMs = 3000;

/** UDP address of another gateway. */
export type PeerAddress = {readonly address: string; readonly port: number};

export type PeerFreshnessOptions = {
	readonly instance: string;
	readonly loads: PeerLoads;
	/** Returns how current this gateway's copies of the store are; undefined until it has read both tables. */
	readonly proof: () => CopyFreshness | undefined;
	/** Returns the source address of a gateway's reports, by its name. */
	readonly addressOf: (name: string) => PeerAddress | undefined;
	readonly send: (message: PeerMessage, to: PeerAddress) => void;
};

/** Asks other gateways how current their copies of the store are, and answers their requests. */
export class PeerFreshness implements Disposable {
	readonly #options: PeerFreshnessOptions;
	readonly #storeReaders: StoreReaders;
	readonly #pending = new Map<
		number,
		(freshness: CopyFreshness | undefined) => void
	>();

	/** Time until which a gateway gets no revalidation requests, by name. */
	readonly #peersInBackoff = new Map<string, number>();
	/** Addresses of the other gateways. */
	#peers: readonly string[] = [];
	#resolveFirstPeers!: () => void;
	readonly #firstPeers = new Promise<void>((resolve) => {
		this.#resolveFirstPeers = resolve;
	});

	/** Also rises across restarts: a late answer to the previous process must not complete a request of this one. */
	#lastNumber = Date.now();
	#lastRequestAt = Number.NEGATIVE_INFINITY;

	constructor(options: PeerFreshnessOptions) {
		this.#options = options;
		this.#storeReaders = new StoreReaders(options.instance);
	}

	setPeers(addresses: readonly string[]): void {
		this.#peers = addresses;
		this.#resolveFirstPeers();
	}

	/** Other gateways revalidate their copies of the store with this one. */
	get hasFollowers(): boolean {
		return monotonicNow() - this.#lastRequestAt < followerTimeoutMs;
	}

	/** Sends a revalidation request to a gateway that reads the store directly; resolves to undefined when this gateway is such a reader, or when no answer comes. */
	async requestFreshness(): Promise<CopyFreshness | undefined> {
		const {addressOf} = this.#options;
		const name = this.#storeReaders.readerFor(this.#candidates());
		const reader = name === undefined ? undefined : addressOf(name);
		if (name === undefined || !reader) {
			return undefined;
		}

		const freshness = await this.#requestFrom(reader);
		if (!freshness || !isRecent(freshness)) {
			this.#peersInBackoff.set(name, monotonicNow() + peerBackoffMs);
		}

		return freshness;
	}

	/** Asks some of the other gateways for the versions of the configuration in force there, a second time if none answers; resolves to the highest one, or to undefined. */
	async requestNewestConfiguration(): Promise<number | undefined> {
		await Promise.race([
			this.#firstPeers,
			delay(firstPeersTimeoutMs, undefined, {ref: false}),
		]);
		for (let round = 0; round < 2; round++) {
			const versions = await this.#requestVersions();
			if (versions.length > 0) {
				return Math.max(...versions);
			}
		}

		return undefined;
	}

	/** Answers the request of another gateway, unless this one has nothing to state. */
	answer(number: number, from: PeerAddress): void {
		this.#lastRequestAt = monotonicNow();
		const proof = this.#options.proof();
		if (proof) {
			this.#options.send({type: 'proof', number, proof}, from);
		}
	}

	/** Completes the request with a number. */
	receive(number: number, freshness: CopyFreshness): void {
		this.#pending.get(number)?.(freshness);
	}

	dispose(): void {
		for (const resolve of this.#pending.values()) {
			resolve(undefined);
		}
	}

	async #requestVersions(): Promise<number[]> {
		const first = Math.floor(Math.random() * this.#peers.length);
		const rotated = [
			...this.#peers.slice(first),
			...this.#peers.slice(0, first),
		];
		const answers = await Promise.all(
			rotated.slice(0, maxAskedPeers).map(async (peer) => {
				const {host, port} = splitAddress(peer);
				return this.#requestFrom({address: host, port});
			}),
		);
		return answers.flatMap((freshness) =>
			freshness ? [freshness.configurationVersion] : [],
		);
	}

	async #requestFrom(to: PeerAddress): Promise<CopyFreshness | undefined> {
		this.#lastNumber++;
		const number = this.#lastNumber;
		return new Promise((resolve) => {
			const timer = setTimeout(() => {
				void this.#expire(number);
			}, timeoutMs);
			this.#pending.set(number, (freshness) => {
				clearTimeout(timer);
				this.#pending.delete(number);
				resolve(freshness);
			});
			this.#options.send({type: 'proof ask', number}, to);
		});
	}

	/** Gives up a request, unless its answer has arrived while this process was busy. */
	async #expire(number: number): Promise<void> {
		await readSockets();
		this.#pending.get(number)?.(undefined);
	}

	/** Hashes of the names of the gateways that have reported recently, without those in back-off. */
	#candidates(): ReadonlyMap<string, number> {
		const now = monotonicNow();
		for (const [name, until] of this.#peersInBackoff) {
			if (until <= now) {
				this.#peersInBackoff.delete(name);
			}
		}

		const recentPeers = this.#options.loads.nameHashes(now);
		return this.#peersInBackoff.size === 0
			? recentPeers
			: new Map(
					[...recentPeers].filter(([name]) => !this.#peersInBackoff.has(name)),
				);
	}
}
