import type {EntryToSidecar, SidecarToEntry} from '../../interfaces/index.js';
import type {
	EntryEffect,
	EntryMessage,
	SidecarEffect,
	SidecarMessage,
} from '../../services/index.js';
import type {VirtualClock} from '../virtual-clock.js';
import type {Host} from './host.js';
import type {RandomStreams} from './random-streams.js';

export type EntryHost = Host<EntryMessage, EntryEffect>;
export type SidecarHost = Host<SidecarMessage, SidecarEffect>;

/** Direction within a link: up from the entry to the sidecar, down from the sidecar to the entry. */
export type Direction = 'up' | 'down';

/** One direction of a link. */
type Lane = {
	/** Whether messages are dropped; the receiving end detects it only by its heartbeat timeout. */
	silent: boolean;
	/** Delivery time of the last message; the next one is not delivered earlier, as in any stream. */
	lastDeliveryAt: number;
};

type Link = {
	readonly id: string;
	readonly entry: EntryHost;
	readonly entryIncarnation: string;
	readonly sidecar: SidecarHost;
	/** Undefined until the sidecar has accepted the connection. */
	sidecarIncarnation: string | undefined;
	/** Whether the entry knows that the sidecar has accepted the connection. */
	up: boolean;
	/** Messages of the entry that are queued until the link is up. */
	readonly waiting: EntryToSidecar[];
	readonly lanes: Readonly<Record<Direction, Lane>>;
	isEntryClosed: boolean;
	isSidecarClosed: boolean;
};

/** Minimum and maximum time after which an end that receives no data closes its connection, in milliseconds. */
const heartbeatTimeoutMs = {least: 2000, most: 3000};

/** Time after which an entry gives up opening a connection, in milliseconds. */
const connectTimeoutMs = 3000;

/** Fraction of messages that are retransmitted, and the maximum delay of such a message, in milliseconds. */
const retransmitFraction = 0.02;
const maxRetransmitDelayMs = 400;

/**
 * Simulated connections between entries and sidecars. Each keeps the order of
 * its messages in both directions until it is closed, is reset, or delivers
 * nothing any more.
 */
export class Network {
	readonly #clock: VirtualClock;
	readonly #random: RandomStreams;
	readonly #links = new Map<string, Link>();
	/** Current link by entry and endpoint. */
	readonly #currentLinks = new Map<string, Link>();
	readonly #partitionedUntil = new Map<string, number>();
	/** Time until which some messages are delayed by retransmission. */
	readonly #lossyUntil: number;
	#linkCount = 0;

	constructor(clock: VirtualClock, streams: RandomStreams, lossyUntil: number) {
		this.#lossyUntil = lossyUntil;
		this.#clock = clock;
		this.#random = streams;
	}

	/** Sends an entry's message, over a new link if there is none. */
	sendUp(entry: EntryHost, sidecar: SidecarHost, message: EntryToSidecar) {
		const pair = pairKey(entry.name, sidecar.name);
		const link =
			this.#currentLinks.get(pair) ?? this.#open(pair, entry, sidecar);
		if (link.up) {
			this.#transmitUp(link, message);
		} else {
			link.waiting.push(message);
		}
	}

	/** Sends a sidecar's message; drops it when the sidecar's end of the link is closed. */
	sendDown(id: string, message: SidecarToEntry): void {
		const link = this.#links.get(id);
		if (!link || link.isSidecarClosed) {
			return;
		}

		this.#transmit(link, 'down', () => {
			if (!link.isEntryClosed) {
				link.entry.deliver(link.entryIncarnation, {
					type: 'peer',
					endpoint: link.sidecar.name,
					message,
				});
			}
		});
	}

	/** Resets the current connection; messages in flight are lost. */
	cut(entry: string, sidecar: string): void {
		const link = this.#currentLinks.get(pairKey(entry, sidecar));
		if (link) {
			this.#blackhole(link, 'both');
			this.#clock.after(this.#delay(link), () => {
				this.#closeEntryEnd(link);
			});
			this.#clock.after(this.#delay(link), () => {
				this.#closeSidecarEnd(link);
			});
		}
	}

	/** Makes the current connection drop everything from now on, also messages in flight. */
	silence(entry: string, sidecar: string, direction: Direction | 'both'): void {
		const link = this.#currentLinks.get(pairKey(entry, sidecar));
		if (link) {
			this.#blackhole(link, direction);
		}
	}

	/** Drops all messages between two processes until a time. */
	partition(entry: string, sidecar: string, until: number): void {
		const pair = pairKey(entry, sidecar);
		this.#partitionedUntil.set(
			pair,
			Math.max(until, this.#partitionedUntil.get(pair) ?? 0),
		);
		this.silence(entry, sidecar, 'both');
	}

	/** Closes the peers' ends of the links of a paused process once their heartbeats time out. */
	onPause(host: EntryHost | SidecarHost): void {
		const since = host.pausedSince;
		for (const link of this.#linksOf(host)) {
			this.#clock.after(this.#heartbeatMs(link), () => {
				if (host.pausedSince === since) {
					this.#closePeerEnd(link, host);
				}
			});
		}
	}

	/** After a pause longer than any heartbeat timeout, closes the process's own end of each link with probability 0.5, since it may check its heartbeat timers before it reads what has arrived. */
	onResume(host: EntryHost | SidecarHost, pausedMs: number): void {
		for (const link of this.#linksOf(host)) {
			if (
				pausedMs > heartbeatTimeoutMs.most &&
				this.#random.get(`resume ${link.id}`).next() < 0.5
			) {
				this.#closeOwnEnd(link, host);
			}
		}
	}

	/** Closes the links of a process that has ended. Its peers receive all that it wrote and the end of the stream (graceful), are reset at once, or receive nothing more until their heartbeats time out (silent). */
	onExit(
		host: EntryHost | SidecarHost,
		how: 'graceful' | 'reset' | 'silent',
	): void {
		for (const link of this.#linksOf(host)) {
			this.#markClosed(link, host);
			switch (how) {
				case 'graceful': {
					this.#transmit(link, link.entry === host ? 'up' : 'down', () => {
						this.#closePeerEnd(link, host);
					});
					break;
				}

				case 'reset': {
					this.#blackhole(link, 'both');
					this.#clock.after(this.#delay(link), () => {
						this.#closePeerEnd(link, host);
					});
					break;
				}

				case 'silent': {
					this.#blackhole(link, 'both');
					break;
				}
			}
		}
	}

	#open(pair: string, entry: EntryHost, sidecar: SidecarHost): Link {
		this.#linkCount++;
		const link: Link = {
			id: `${entry.name}/${sidecar.name}#${this.#linkCount}`,
			entry,
			entryIncarnation: entry.incarnation!,
			sidecar,
			sidecarIncarnation: undefined,
			up: false,
			waiting: [],
			lanes: {
				up: {silent: false, lastDeliveryAt: 0},
				down: {silent: false, lastDeliveryAt: 0},
			},
			isEntryClosed: false,
			isSidecarClosed: true,
		};
		this.#links.set(link.id, link);
		this.#currentLinks.set(pair, link);
		if ((this.#partitionedUntil.get(pair) ?? 0) > this.#clock.now) {
			this.#blackhole(link, 'both');
		} else {
			this.#connect(link);
		}

		this.#clock.after(connectTimeoutMs, () => {
			if (!link.up) {
				this.#closeEntryEnd(link);
			}
		});
		return link;
	}

	#connect(link: Link): void {
		this.#clock.after(this.#delay(link), () => {
			const {incarnation} = link.sidecar;
			if (link.isEntryClosed) {
				return;
			}

			if (incarnation === undefined) {
				this.#clock.after(this.#delay(link), () => {
					this.#closeEntryEnd(link);
				});
				return;
			}

			link.sidecar.post(incarnation, () => {
				link.sidecarIncarnation = incarnation;
				link.isSidecarClosed = false;
				this.#transmit(link, 'down', () => {
					this.#onLinkUp(link, incarnation);
				});
			});
		});
	}

	#onLinkUp(link: Link, incarnation: string): void {
		link.entry.post(link.entryIncarnation, () => {
			if (link.isEntryClosed) {
				return;
			}

			link.up = true;
			link.entry.deliver(link.entryIncarnation, {
				type: 'linkUp',
				endpoint: link.sidecar.name,
				incarnation,
			});
			for (const message of link.waiting.splice(0)) {
				this.#transmitUp(link, message);
			}
		});
	}

	#transmitUp(link: Link, message: EntryToSidecar): void {
		this.#transmit(link, 'up', () => {
			if (!link.isSidecarClosed) {
				link.sidecar.deliver(link.sidecarIncarnation!, {
					type: 'peer',
					link: link.id,
					message,
				});
			}
		});
	}

	/** Calls `onArrival` after the delay of the link and in the order of the lane, unless the lane drops its messages by then. */
	#transmit(link: Link, direction: Direction, onArrival: () => void): void {
		const lane = link.lanes[direction];
		const time = Math.max(
			lane.lastDeliveryAt,
			this.#clock.now + this.#delay(link),
		);
		lane.lastDeliveryAt = time;
		this.#clock.at(time, () => {
			if (!lane.silent) {
				onArrival();
			}
		});
	}

	#blackhole(link: Link, direction: Direction | 'both'): void {
		if (direction !== 'down') {
			link.lanes.up.silent = true;
			this.#clock.after(this.#heartbeatMs(link), () => {
				this.#closeSidecarEnd(link);
			});
		}

		if (direction !== 'up') {
			link.lanes.down.silent = true;
			this.#clock.after(this.#heartbeatMs(link), () => {
				this.#closeEntryEnd(link);
			});
		}
	}

	#closeEntryEnd(link: Link): void {
		link.entry.post(link.entryIncarnation, () => {
			if (link.isEntryClosed) {
				return;
			}

			this.#markClosed(link, link.entry);
			link.entry.deliver(link.entryIncarnation, {
				type: 'linkLost',
				endpoint: link.sidecar.name,
			});
			this.#transmit(link, 'up', () => {
				this.#closeSidecarEnd(link);
			});
		});
	}

	#closeSidecarEnd(link: Link): void {
		if (link.sidecarIncarnation === undefined) {
			return;
		}

		link.sidecar.post(link.sidecarIncarnation, () => {
			if (link.isSidecarClosed) {
				return;
			}

			this.#markClosed(link, link.sidecar);
			link.sidecar.deliver(link.sidecarIncarnation!, {
				type: 'linkLost',
				link: link.id,
			});
			this.#transmit(link, 'down', () => {
				this.#closeEntryEnd(link);
			});
		});
	}

	#closePeerEnd(link: Link, host: EntryHost | SidecarHost): void {
		if (link.entry === host) {
			this.#closeSidecarEnd(link);
		} else {
			this.#closeEntryEnd(link);
		}
	}

	#closeOwnEnd(link: Link, host: EntryHost | SidecarHost): void {
		if (link.entry === host) {
			this.#closeEntryEnd(link);
		} else {
			this.#closeSidecarEnd(link);
		}
	}

	#markClosed(link: Link, host: EntryHost | SidecarHost): void {
		if (link.entry === host) {
			link.isEntryClosed = true;
			const pair = pairKey(link.entry.name, link.sidecar.name);
			if (this.#currentLinks.get(pair) === link) {
				this.#currentLinks.delete(pair);
			}
		} else {
			link.isSidecarClosed = true;
		}

		if (link.isEntryClosed && link.isSidecarClosed) {
			this.#links.delete(link.id);
		}
	}

	#linksOf(host: EntryHost | SidecarHost): Link[] {
		return [...this.#links.values()].filter((link) =>
			link.entry === host
				? !link.isEntryClosed
				: link.sidecar === host && !link.isSidecarClosed,
		);
	}

	#heartbeatMs(link: Link): number {
		const {least, most} = heartbeatTimeoutMs;
		return least + (most - least) * this.#random.get(`beat ${link.id}`).next();
	}

	#delay(link: Link): number {
		const random = this.#random.get(`link ${link.id}`);
		return random.next() < retransmitFraction &&
			this.#clock.now < this.#lossyUntil
			? random.next() * maxRetransmitDelayMs
			: 0.1 + random.next();
	}
}

function pairKey(entry: string, sidecar: string): string {
	return `${entry}/${sidecar}`;
}
