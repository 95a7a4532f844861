import {DisposableStore, Emitter, type Disposable} from '../../base/index.js';
import type {
	EntryToSidecar,
	Hello,
	SidecarToEntry,
} from '../../interfaces/index.js';
import {
	connect,
	receiveFromSidecar,
	sendToSidecar,
	type Link,
	type PeerKeys,
} from '../link/index.js';

type OpenLink = {link: Link | undefined; readonly waiting: EntryToSidecar[]};

/** A message from the sidecar of an endpoint. */
export type ReceivedMessage = {
	readonly endpoint: string;
	readonly message: SidecarToEntry;
};

export type SidecarLinksOptions = {
	readonly keys: PeerKeys;
	readonly localHello: () => Hello;
	/** Time after which a link without work in flight is closed, in milliseconds. */
	readonly idleMs: number;
};

/** Owns the entry's links to sidecars; opens a link when the first message is sent to its endpoint. */
export class SidecarLinks implements Disposable {
	readonly #options: SidecarLinksOptions;
	readonly #store = new DisposableStore();
	readonly #links = new Map<string, OpenLink>();
	readonly #onDidOpen = this.#store.add(
		new Emitter<{endpoint: string; incarnation: string}>(),
	);

	readonly #onDidLose = this.#store.add(new Emitter<{endpoint: string}>());
	readonly #onDidReceive = this.#store.add(new Emitter<ReceivedMessage>());

	readonly #onDidReject = this.#store.add(
		new Emitter<{endpoint: string; reason: string}>(),
	);

	readonly onDidOpen = this.#onDidOpen.event;
	readonly onDidLose = this.#onDidLose.event;
	/** A link could not be opened, or a message on it was rejected. */
	readonly onDidReject = this.#onDidReject.event;
	readonly onDidReceive = this.#onDidReceive.event;

	constructor(options: SidecarLinksOptions) {
		this.#options = options;
	}

	/** Number of links that are open or being opened. */
	get size(): number {
		return this.#links.size;
	}

	send(endpoint: string, address: string, message: EntryToSidecar): void {
		const open = this.#links.get(endpoint);
		if (open?.link) {
			sendToSidecar(open.link, message);
		} else if (open) {
			open.waiting.push(message);
		} else {
			this.#links.set(endpoint, {link: undefined, waiting: [message]});
			void this.#open(endpoint, address);
		}
	}

	dispose(): void {
		this.#store.dispose();
	}

	async #open(endpoint: string, address: string): Promise<void> {
		const open = this.#links.get(endpoint)!;
		try {
			const {keys, localHello, idleMs} = this.#options;
			const {link, peer} = await connect(address, {
				keys,
				localHello: localHello(),
				idleMs,
			});
			if (peer.role !== 'sidecar' || peer.instance !== endpoint) {
				// The address has been reassigned to another instance since it was listed.
				link.dispose();
				throw new Error(
					`address ${address} now belongs to ${peer.role} ${peer.instance}`,
				);
			}

			open.link = this.#store.add(link);
			receiveFromSidecar(link, (message) => {
				this.#onDidReceive.fire({endpoint, message});
			});
			link.onDidClose(() => {
				this.#store.delete(link);
				this.#lose(endpoint);
			});
			link.onDidReject((reason) => {
				this.#onDidReject.fire({endpoint, reason});
			});
			this.#onDidOpen.fire({endpoint, incarnation: peer.incarnation});
			for (const message of open.waiting.splice(0)) {
				sendToSidecar(link, message);
			}
		} catch (error) {
			this.#onDidReject.fire({endpoint, reason: String(error)});
			this.#lose(endpoint);
		}
	}

	#lose(endpoint: string): void {
		if (this.#links.delete(endpoint)) {
			this.#onDidLose.fire({endpoint});
		}
	}
}
