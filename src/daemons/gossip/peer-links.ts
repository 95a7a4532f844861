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

/** What processes tell each other about configuration and membership. */
export type GossipMessage = SpreadMessage | MembersMessage;

const methods = {
	push: 'spread.push',
	digest: 'spread.digest',
	members: 'spread.members',
} as const satisfies Record<GossipMessage['type'], string>;

/** Messages kept for a link that is being opened; later ones are dropped, since digests repair what is lost. */
const maxWaiting = 16;

type OpenLink = {link: Link | undefined; readonly waiting: GossipMessage[]};

export type PeerLinksOptions = {
	readonly keys: PeerKeys;
	readonly own: () => Hello;
	/** Time after which a link closes when nothing is sent on it, in milliseconds. */
	readonly idleMs: number;
};

/** Identity and message of a peer. */
export type PeerPost = {readonly peer: string; readonly message: GossipMessage};

/** Owns the links over which a process gossips; uses those that peers have opened and opens the others on demand. */
export class PeerLinks implements Disposable {
	readonly #options: PeerLinksOptions;
	readonly #store = new DisposableStore();
	readonly #links = new Map<string, OpenLink>();
	readonly #onDidReceive = this.#store.add(new Emitter<PeerPost>());
	readonly #onDidChange = this.#store.add(
		new Emitter<{peer: string; state: 'up' | 'lost'}>(),
	);

	readonly onDidReceive = this.#onDidReceive.event;
	/** A link was opened, or could not be. */
	readonly onDidChange = this.#onDidChange.event;

	constructor(options: PeerLinksOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#links.size;
	}

	/** Takes a link that a peer has opened. */
	accept({link, peer}: AcceptedLink): void {
		this.#receive(peer.instance, link);
		if (!this.#links.has(peer.instance)) {
			this.#links.set(peer.instance, {link, waiting: []});
			this.#forgetWhenClosed(peer.instance, link);
		}
	}

	/** Sends to a peer; `address` is used when there is no link yet. A message that cannot be delivered is dropped. */
	send(peer: string, address: string, message: GossipMessage): void {
		const open = this.#links.get(peer);
		if (open?.link) {
			notify(open.link, message);
		} else if (open) {
			if (open.waiting.length < maxWaiting) {
				open.waiting.push(message);
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
		const open = this.#links.get(peer)!;
		try {
			const {keys, own, idleMs} = this.#options;
			const {link, peer: hello} = await connect(address, {
				keys,
				own: own(),
				idleMs,
			});
			this.#store.add(link);
			if (hello.instance !== peer) {
				link.dispose();
				throw new Error(`${address} is now ${hello.instance}`);
			}

			open.link = link;
			this.#receive(peer, link);
			this.#forgetWhenClosed(peer, link);
			this.#onDidChange.fire({peer, state: 'up'});
			for (const message of open.waiting.splice(0)) {
				notify(link, message);
			}
		} catch {
			this.#links.delete(peer);
			this.#onDidChange.fire({peer, state: 'lost'});
		}
	}

	#receive(peer: string, link: Link): void {
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

	#forgetWhenClosed(peer: string, link: Link): void {
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
