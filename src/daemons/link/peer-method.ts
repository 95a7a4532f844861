import {z} from 'zod';
import {
	decodeOffer,
	encodeOffer,
	entryToSidecarSchema,
	sidecarToEntrySchema,
	updateSchema,
	type EntryToSidecar,
	type SidecarToEntry,
	type Update,
} from '../../interfaces/index.js';
import type {Link} from './link.js';

const entryMethods = {
	offer: 'offer',
	start: 'attempt.start',
	cancel: 'attempt.cancel',
	detach: 'attempt.detach',
	attach: 'attempt.attach',
	credit: 'attempt.credit',
	query: 'request.query',
} as const satisfies Record<EntryToSidecar['type'], string>;

const updatesSchema = z.object({updates: z.array(updateSchema)});

/** Sends an entry's message over a link. */
export function sendToSidecar(link: Link, message: EntryToSidecar): void {
	trackRequest(link, message);
	if (message.type === 'offer' || message.type === 'query') {
		link.expectReply();
	}

	link.notify(entryMethods[message.type], () =>
		message.type === 'offer' ? encodeOffer(message) : message,
	);
}

/** Receives what entries send over a link. Messages that do not fit the schema are refused by JSON-RPC. */
export function receiveFromEntry(
	link: Link,
	receive: (message: EntryToSidecar) => void,
): void {
	for (const method of Object.values(entryMethods)) {
		link.on(method, (parameters: unknown) => {
			const message =
				method === 'offer'
					? decodeOffer(parameters)
					: entryToSidecarSchema.parse(parameters);
			trackRequest(link, message);
			receive(message);
		});
	}
}

/** Receives what a sidecar sends over a link. */
export function receiveFromSidecar(
	link: Link,
	receive: (message: SidecarToEntry) => void,
): void {
	for (const method of ['offer.reply', 'request.reply']) {
		link.on(method, (parameters: unknown) => {
			receive(sidecarToEntrySchema.parse(parameters));
		});
	}

	link.on('attempt.update', (parameters: unknown) => {
		for (const update of updatesSchema.parse(parameters).updates) {
			trackUpdate(link, update);
			receive({type: 'update', update});
		}
	});
}

/** Sends a sidecar's messages over a link; the updates of one turn of the event loop go out as one notification. */
export class SidecarSender {
	readonly #link: Link;
	#updates: Update[] = [];

	constructor(link: Link) {
		this.#link = link;
	}

	send(message: SidecarToEntry): void {
		switch (message.type) {
			case 'offerReply': {
				this.#link.notify('offer.reply', () => message);
				break;
			}

			case 'queryReply': {
				this.#link.notify('request.reply', () => message);
				break;
			}

			case 'update': {
				if (this.#updates.length === 0) {
					this.#link.notify('attempt.update', () => this.#takeUpdates());
				}

				this.#updates.push(message.update);
				trackUpdate(this.#link, message.update);
				break;
			}
		}
	}

	#takeUpdates(): {updates: Update[]} {
		const updates = this.#updates;
		this.#updates = [];
		return {updates};
	}
}

/** An attempt is in flight on the link from the entry's message until the sidecar's last update. */
function trackRequest(link: Link, message: EntryToSidecar): void {
	switch (message.type) {
		case 'start':
		case 'attach':
		case 'cancel': {
			link.hold(message.attempt);
			break;
		}

		case 'detach': {
			link.release(message.attempt);
			break;
		}

		case 'offer':
		case 'query':
		case 'credit': {
			break;
		}
	}
}

function trackUpdate(link: Link, update: Update): void {
	switch (update.type) {
		case 'refused':
		case 'ended': {
			link.release(update.attempt);
			break;
		}

		case 'started':
		case 'head':
		case 'chunk': {
			break;
		}
	}
}
