import type {EntryToSidecar, SidecarToEntry} from '../../interfaces/index.js';
import type {
	EntryEffect,
	EntryMessage,
	SidecarEffect,
	SidecarMessage,
} from '../../services/index.js';
import type {VirtualClock} from '../virtual-clock.js';
import type {Host} from './host.js';
import type {Streams} from './streams.js';

export type EntryHost = Host<EntryMessage, EntryEffect>;
export type SidecarHost = Host<SidecarMessage, SidecarEffect>;

/** Direction of a lane: up carries the entry's messages, down the sidecar's. */
export type Direction = 'up' | 'down';

type Lane = {
	silent: boolean;
	/** Delivery time of the last message, since a stream keeps its order. */
	lastAt: number;
};

type Link = {
	readonly id: string;
	readonly entry: EntryHost;
	readonly entryIncarnation: string;
	readonly sidecar: SidecarHost;
	/** Undefined until the sidecar has accepted the connection. */
	sidecarIncarnation: string | undefined;
	/** The entry has seen the link come up. */
	up: boolean;
	/** Messages that wait for the link to come up. */
	readonly waiting: EntryToSidecar[];
	readonly lanes: Readonly<Record<Direction, Lane>>;
	entryClosed: boolean;
	sidecarClosed: boolean;
};

/** Least and greatest time after which an end notices that it receives nothing, in milliseconds. */
const heartbeatTimeoutMs = {least: 2000, most: 3000};

/** Time after which an end that opens a connection gives up, in milliseconds. */
const connectTimeoutMs = 3000;

/** Share of messages that the transport has to send again, and the longest delay that this causes. */
const slowShare = 0.02;
const slowMs = 400;

/**
 * Connections between entries and sidecars: each is a stream that keeps its
 * order in both directions until it is closed, reset or goes silent.
 */
export class Network {
	readonly #clock: VirtualClock;
	readonly #streams: Streams;
	readonly #links = new Map<string, Link>();
	/** Present link by entry and endpoint. */
	readonly #current = new Map<string, Link>();
	readonly #partitions = new Map<string, number>();
	/** Time until which some messages are late. */
	readonly #lossyUntil: number;
	#count = 0;

	constructor(clock: VirtualClock, streams: Streams, lossyUntil: number) {
		this.#lossyUntil = lossyUntil;
		this.#clock = clock;
		this.#streams = streams;
	}

	/** Sends an entry's message, over a new link if there is none. */
	sendUp(entry: EntryHost, sidecar: SidecarHost, message: EntryToSidecar) {
		const pair = pairOf(entry.name, sidecar.name);
		const link = this.#current.get(pair) ?? this.#open(pair, entry, sidecar);
		if (link.up) {
			this.#carryUp(link, message);
		} else {
			link.waiting.push(message);
		}
	}

	/** Sends a sidecar's message; lost when the sidecar's end of the link is closed. */
	sendDown(id: string, message: SidecarToEntry): void {
		const link = this.#links.get(id);
		if (!link || link.sidecarClosed) {
			return;
		}

		this.#carry(link, 'down', () => {
			if (!link.entryClosed) {
				link.entry.deliver(link.entryIncarnation, {
					type: 'peer',
					endpoint: link.sidecar.name,
					message,
				});
			}
		});
	}

	/** Resets the present connection; what is on its way is lost. */
	cut(entry: string, sidecar: string): void {
		const link = this.#current.get(pairOf(entry, sidecar));
		if (link) {
			this.#silence(link, 'both');
			this.#clock.after(this.#delay(link), () => {
				this.#closeEntryEnd(link);
			});
			this.#clock.after(this.#delay(link), () => {
				this.#closeSidecarEnd(link);
			});
		}
	}

	/** Makes the present connection lose everything that it carries from now on. */
	silence(entry: string, sidecar: string, direction: Direction | 'both'): void {
		const link = this.#current.get(pairOf(entry, sidecar));
		if (link) {
			this.#silence(link, direction);
		}
	}

	/** Lets nothing pass between two processes until a time. */
	partition(entry: string, sidecar: string, until: number): void {
		const pair = pairOf(entry, sidecar);
		this.#partitions.set(
			pair,
			Math.max(until, this.#partitions.get(pair) ?? 0),
		);
		this.silence(entry, sidecar, 'both');
	}

	/** The peers of a paused process notice that it is silent. */
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

	/** A process that resumes after `pausedMs` may check its own heartbeats before it reads what has arrived. */
	onResume(host: EntryHost | SidecarHost, pausedMs: number): void {
		for (const link of this.#linksOf(host)) {
			if (
				pausedMs > heartbeatTimeoutMs.most &&
				this.#streams.get(`resume ${link.id}`).next() < 0.5
			) {
				this.#closeOwnEnd(link, host);
			}
		}
	}

	/** A process has ended: its peers read all that it wrote and the end of the stream, are reset at once, or hear nothing more. */
	onEnd(
		host: EntryHost | SidecarHost,
		how: 'graceful' | 'reset' | 'silent',
	): void {
		for (const link of this.#linksOf(host)) {
			this.#markClosed(link, host);
			switch (how) {
				case 'graceful': {
					this.#carry(link, link.entry === host ? 'up' : 'down', () => {
						this.#closePeerEnd(link, host);
					});
					break;
				}

				case 'reset': {
					this.#silence(link, 'both');
					this.#clock.after(this.#delay(link), () => {
						this.#closePeerEnd(link, host);
					});
					break;
				}

				case 'silent': {
					this.#silence(link, 'both');
					break;
				}
			}
		}
	}

	#open(pair: string, entry: EntryHost, sidecar: SidecarHost): Link {
		this.#count++;
		const link: Link = {
			id: `${entry.name}/${sidecar.name}#${this.#count}`,
			entry,
			entryIncarnation: entry.incarnation!,
			sidecar,
			sidecarIncarnation: undefined,
			up: false,
			waiting: [],
			lanes: {
				up: {silent: false, lastAt: 0},
				down: {silent: false, lastAt: 0},
			},
			entryClosed: false,
			sidecarClosed: true,
		};
		this.#links.set(link.id, link);
		this.#current.set(pair, link);
		if ((this.#partitions.get(pair) ?? 0) > this.#clock.now) {
			this.#silence(link, 'both');
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
			if (link.entryClosed) {
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
				link.sidecarClosed = false;
				this.#carry(link, 'down', () => {
					this.#onUp(link, incarnation);
				});
			});
		});
	}

	#onUp(link: Link, incarnation: string): void {
		link.entry.post(link.entryIncarnation, () => {
			if (link.entryClosed) {
				return;
			}

			link.up = true;
			link.entry.deliver(link.entryIncarnation, {
				type: 'linkUp',
				endpoint: link.sidecar.name,
				incarnation,
			});
			for (const message of link.waiting.splice(0)) {
				this.#carryUp(link, message);
			}
		});
	}

	#carryUp(link: Link, message: EntryToSidecar): void {
		this.#carry(link, 'up', () => {
			if (!link.sidecarClosed) {
				link.sidecar.deliver(link.sidecarIncarnation!, {
					type: 'peer',
					link: link.id,
					message,
				});
			}
		});
	}

	/** Runs `arrive` in the order of the lane, unless the lane goes silent before. */
	#carry(link: Link, direction: Direction, arrive: () => void): void {
		const lane = link.lanes[direction];
		const time = Math.max(lane.lastAt, this.#clock.now + this.#delay(link));
		lane.lastAt = time;
		this.#clock.at(time, () => {
			if (!lane.silent) {
				arrive();
			}
		});
	}

	#silence(link: Link, direction: Direction | 'both'): void {
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
			if (link.entryClosed) {
				return;
			}

			this.#markClosed(link, link.entry);
			link.entry.deliver(link.entryIncarnation, {
				type: 'linkLost',
				endpoint: link.sidecar.name,
			});
			this.#carry(link, 'up', () => {
				this.#closeSidecarEnd(link);
			});
		});
	}

	#closeSidecarEnd(link: Link): void {
		if (link.sidecarIncarnation === undefined) {
			return;
		}

		link.sidecar.post(link.sidecarIncarnation, () => {
			if (link.sidecarClosed) {
				return;
			}

			this.#markClosed(link, link.sidecar);
			link.sidecar.deliver(link.sidecarIncarnation!, {
				type: 'linkLost',
				link: link.id,
			});
			this.#carry(link, 'down', () => {
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
			link.entryClosed = true;
			const pair = pairOf(link.entry.name, link.sidecar.name);
			if (this.#current.get(pair) === link) {
				this.#current.delete(pair);
			}
		} else {
			link.sidecarClosed = true;
		}

		if (link.entryClosed && link.sidecarClosed) {
			this.#links.delete(link.id);
		}
	}

	#linksOf(host: EntryHost | SidecarHost): Link[] {
		return [...this.#links.values()].filter((link) =>
			link.entry === host
				? !link.entryClosed
				: link.sidecar === host && !link.sidecarClosed,
		);
	}

	#heartbeatMs(link: Link): number {
		const {least, most} = heartbeatTimeoutMs;
		return least + (most - least) * this.#streams.get(`beat ${link.id}`).next();
	}

	#delay(link: Link): number {
		const random = this.#streams.get(`link ${link.id}`);
		return random.next() < slowShare && this.#clock.now < this.#lossyUntil
			? random.next() * slowMs
			: 0.1 + random.next();
	}
}

function pairOf(entry: string, sidecar: string): string {
	return `${entry}/${sidecar}`;
}
