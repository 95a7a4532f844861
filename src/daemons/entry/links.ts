import {DisposableStore, Emitter, type Disposable} from '../../base/index.js';
import type {
	EntryToSidecar,
	Hello,
	SidecarToEntry,
} from '../../platform/index.js';
import {
	connect,
	receiveFromSidecar,
	sendToSidecar,
	type Link,
} from '../link/index.js';

type OpenLink = {link: Link | undefined; readonly waiting: EntryToSidecar[]};

/** Identity and message of a sidecar. */
export type SidecarPost = {
	readonly endpoint: string;
	readonly message: SidecarToEntry;
};

/** Owns the entry's links to sidecars; opens them when a message is to be sent. */
export class SidecarLinks implements Disposable {
	readonly #key: string;
	readonly #own: () => Hello;
	readonly #store = new DisposableStore();
	readonly #links = new Map<string, OpenLink>();
	readonly #onDidOpen = this.#store.add(
		new Emitter<{endpoint: string; incarnation: string}>(),
	);

	readonly #onDidLose = this.#store.add(new Emitter<{endpoint: string}>());
	readonly #onDidReceive = this.#store.add(new Emitter<SidecarPost>());

	readonly onDidOpen = this.#onDidOpen.event;
	readonly onDidLose = this.#onDidLose.event;
	readonly onDidReceive = this.#onDidReceive.event;

	constructor(key: string, own: () => Hello) {
		this.#key = key;
		this.#own = own;
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
			const {link, peer} = await connect(address, this.#key, this.#own());
			open.link = this.#store.add(link);
			receiveFromSidecar(link, (message) => {
				this.#onDidReceive.fire({endpoint, message});
			});
			link.onDidClose(() => {
				this.#store.delete(link);
				this.#lose(endpoint);
			});
			this.#onDidOpen.fire({endpoint, incarnation: peer.incarnation});
			for (const message of open.waiting.splice(0)) {
				sendToSidecar(link, message);
			}
		} catch {
			this.#lose(endpoint);
		}
	}

	#lose(endpoint: string): void {
		if (this.#links.delete(endpoint)) {
			this.#onDidLose.fire({endpoint});
		}
	}
}
