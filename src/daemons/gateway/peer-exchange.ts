import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import * as z from 'zod';
import type {Disposable} from '../../base/index.js';
import type {
	EndpointSet,
	PeerLoads,
	PeerReport,
	PrefixLink,
} from '../../services/gateway/index.js';
import {splitAddress} from '../listen.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../task.js';

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

const report = z.object({
	gateway: z.string(),
	sequence: z.number(),
	incarnation: z.number(),
	/** Endpoint, running requests, unread tokens. */
	loads: z.array(z.tuple([z.string(), z.number(), z.number()])),
	/** Endpoint, hash, tokens, 1 when read and 0 when begun. */
	reads: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
});

export type PeerExchangeOptions = {
	/** Name of this gateway. */
	readonly instance: string;
	/** Address on which reports are received. */
	readonly address: string;
	readonly endpoints: EndpointSet;
	readonly loads: PeerLoads;
	readonly log: Log;
	/** A report has changed what is known of the endpoints' load. */
	readonly onDidHear: () => void;
};

/** Task that tells the other gateways, by datagrams, what work this one has in progress, and hears theirs. */
export class PeerExchange implements Disposable {
	readonly #options: PeerExchangeOptions;
	readonly #socket: Socket;
	readonly #incarnation = Date.now();
	#peers: readonly string[] = [];
	#sequence = 0;
	#reads: Array<[string, number, number, number]> = [];
	#lastLoads = '';
	#lastSentAt = 0;
	#timer: NodeJS.Timeout | undefined;
	#failures = 0;

	constructor(options: PeerExchangeOptions) {
		this.#options = options;
		this.#socket = createSocket('udp4');
		this.#socket.on('message', (message) => {
			this.#receive(message);
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
		endpoint: string,
		links: readonly PrefixLink[],
		isDone: boolean,
	): void {
		for (const {hash, tokens} of links) {
			if (tokens >= minToldTokens && this.#reads.length < maxReads) {
				this.#reads.push([endpoint, hash, tokens, Number(isDone)]);
			}
		}
	}

	dispose(): void {
		clearTimeout(this.#timer);
		this.#socket.close();
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
			.map((upstream) => [
				upstream.id,
				upstream.ownRunning,
				Math.round(upstream.ownUnreadTokens()),
			]);
		const text = JSON.stringify(loads);
		const now = monotonicNow();
		if (
			this.#reads.length === 0 &&
			text === this.#lastLoads &&
			now - this.#lastSentAt < repeatMs
		) {
			return;
		}

		this.#lastLoads = text;
		this.#lastSentAt = now;
		this.#sequence++;
		const message = Buffer.from(
			JSON.stringify({
				gateway: this.#options.instance,
				sequence: this.#sequence,
				incarnation: this.#incarnation,
				loads,
				reads: this.#reads,
			}),
		);
		this.#reads = [];
		for (const peer of this.#peers) {
			const {host, port} = splitAddress(peer);
			this.#socket.send(message, port, host, (error) => {
				this.#note(error);
			});
		}
	}

	/** One line when reports begin to fail and one when they are sent again. */
	#note(error: Error | null): void {
		if (error && this.#failures === 0) {
			this.#options.log.warn('peer_report_failed', {reason: error.message});
		} else if (!error && this.#failures > 0) {
			this.#options.log.info('peer_report_sent', {after: this.#failures});
		}

		this.#failures = error ? this.#failures + 1 : 0;
	}

	#receive(message: Buffer): void {
		const heard = parse(message);
		if (!heard) {
			this.#options.log.warn('peer_report_unreadable', {
				bytes: message.length,
			});
			return;
		}

		const now = monotonicNow();
		if (this.#options.loads.receive(heard, now)) {
			this.#options.endpoints.noteReads(heard.reads, now);
			this.#options.onDidHear();
		}
	}
}

function parse(message: Buffer): PeerReport | undefined {
	let json: unknown;
	try {
		json = JSON.parse(message.toString('utf8'));
	} catch {
		return undefined;
	}

	const result = report.safeParse(json);
	return result.success
		? {
				...result.data,
				loads: result.data.loads.map(([endpoint, running, unreadTokens]) => ({
					endpoint,
					running,
					unreadTokens,
				})),
				reads: result.data.reads.map(([endpoint, hash, tokens, done]) => ({
					endpoint,
					hash,
					tokens,
					isDone: done === 1,
				})),
			}
		: undefined;
}
