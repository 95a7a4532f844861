import {DisposableStore, Emitter, type Disposable} from '../../base/index.js';
import {
	membersMessageSchema,
	spreadMessageSchema,
	type Hello,
	type MembersMessage,
	type SpreadMessage,
} from '../../interfaces/index.js';
import {
	connect,
	type AcceptedLink,
	type Link,
	type PeerKeys,
} from '../link/index.js';

/** Messages about configuration and membership that processes exchange. */
export type GossipMessage = SpreadMessage | MembersMessage;

const methods = {
	push: 'spread.push',
	digest: 'spread.digest',
	members: 'spread.members',
} as const satisfies Record<GossipMessage['type'], string>;

/** Maximum number of messages queued for a link that is being opened. Later ones are dropped, since digests repair the loss. */
const maxQueuedMessages = 16;

/** `link` is undefined while it is being opened; `waiting` holds the messages to send then. */
type PeerLink = {link: Link | undefined; readonly waiting: GossipMessage[]};

export type PeerLinksOptions = {
	readonly keys: PeerKeys;
	readonly localHello: () => Hello;
	/** Time without traffic after which a link closes, in milliseconds. */
	readonly idleMs: number;
};

/** A received message and the instance name of its sender. */
export type ReceivedGossip = {
	readonly peer: string;
	readonly message: GossipMessage;
};

/** Owns the links over which a process gossips: reuses those that peers have opened and opens others on demand. */
export class PeerLinks implements Disposable {
	readonly #options: PeerLinksOptions;
	readonly #store = new DisposableStore();
	readonly #links = new Map<string, PeerLink>();
	readonly #onDidReceive = this.#store.add(new Emitter<ReceivedGossip>());
	readonly #onDidChange = this.#store.add(
		new Emitter<{peer: string; state: 'up' | 'lost'}>(),
	);

	readonly onDidReceive = this.#onDidReceive.event;
	/** Fires when this process has opened a link, or failed to. */
	readonly onDidChange = this.#onDidChange.event;

	constructor(options: PeerLinksOptions) {
		this.#options = options;
	}

	/** Number of links that are open or being opened. */
	get size(): number {
		return this.#links.size;
	}

	/** Registers a link that a peer has opened; it is used to send as well unless there already is one. */
	accept({link, peer}: AcceptedLink): void {
		this.#registerHandlers(peer.instance, link);
		if (!this.#links.has(peer.instance)) {
			this.#links.set(peer.instance, {link, waiting: []});
			this.#removeWhenClosed(peer.instance, link);
		}
	}

	/** Sends to a peer, opening a link to `address` when there is none. A message that cannot be delivered is dropped. */
	send(peer: string, address: string, message: GossipMessage): void {
		const peerLink = this.#links.get(peer);
		if (peerLink?.link) {
			notify(peerLink.link, message);
		} else if (peerLink) {
			if (peerLink.waiting.length < maxQueuedMessages) {
				peerLink.waiting.push(message);
			}
		} else {
			this.#links.set(peer, {link: undefined, waiting: [message]});
			void this.#open(peer, address);
		}
	}

	dispose(): void {
		this.#store.dispose();
	}

	async #open(peer: string, address: string): Promise<void> {
		const peerLink = this.#links.get(peer)!;
		try {
			const {keys, localHello, idleMs} = this.#options;
			const {link, peer: hello} = await connect(address, {
				keys,
				localHello: localHello(),
				idleMs,
			});
			this.#store.add(link);
			if (hello.instance !== peer) {
				link.dispose();
				throw new Error(`address ${address} now belongs to ${hello.instance}`);
			}

			peerLink.link = link;
			this.#registerHandlers(peer, link);
			this.#removeWhenClosed(peer, link);
			this.#onDidChange.fire({peer, state: 'up'});
			for (const message of peerLink.waiting.splice(0)) {
				notify(link, message);
			}
		} catch {
			this.#links.delete(peer);
			this.#onDidChange.fire({peer, state: 'lost'});
		}
	}

	#registerHandlers(peer: string, link: Link): void {
		link.on(methods.push, (parameters) => {
			this.#fire(peer, spreadMessageSchema.parse(parameters));
		});
		link.on(methods.digest, (parameters) => {
			this.#fire(peer, spreadMessageSchema.parse(parameters));
		});
		link.on(methods.members, (parameters) => {
			this.#fire(peer, membersMessageSchema.parse(parameters));
		});
	}

	#fire(peer: string, message: GossipMessage): void {
		this.#onDidReceive.fire({peer, message});
	}

	#removeWhenClosed(peer: string, link: Link): void {
		link.onDidClose(() => {
			this.#store.delete(link);
			if (this.#links.get(peer)?.link === link) {
				this.#links.delete(peer);
			}
		});
	}
}

function notify(link: Link, message: GossipMessage): void {
	link.notify(methods[message.type], () => message);
}
