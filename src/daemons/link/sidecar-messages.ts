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

/** Sends an entry's message over a link and tracks the attempt, or the reply that is due, so that the link detects a dead sidecar. */
export function sendToSidecar(link: Link, message: EntryToSidecar): void {
	trackMessage(link, message);
	if (message.type === 'offer' || message.type === 'query') {
		link.expectReply();
	}

	link.notify(entryMethods[message.type], () =>
		message.type === 'offer' ? encodeOffer(message) : message,
	);
}

/** Passes the messages of an entry to `receive`. A message that does not match the schema fires the link's `onDidReject`. */
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
			trackMessage(link, message);
			receive(message);
		});
	}
}

/** Passes the messages of a sidecar to `receive`, each update of a batch by itself. */
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

/** Sends a sidecar's messages over a link; the updates of one turn of the event loop are combined into one notification. */
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

/** Marks an attempt as work in flight when the entry starts, attaches to or cancels it, until the entry detaches or the sidecar sends its last update. */
function trackMessage(link: Link, message: EntryToSidecar): void {
	switch (message.type) {
		case 'start':
		case 'attach':
		case 'cancel': {
			link.beginWork(message.attempt);
			break;
		}

		case 'detach': {
			link.endWork(message.attempt);
			break;
		}

		case 'offer':
		case 'query':
		case 'credit': {
			break;
		}
	}
}

/** Ends the work of an attempt at its last update. */
function trackUpdate(link: Link, update: Update): void {
	switch (update.type) {
		case 'refused':
		case 'ended': {
			link.endWork(update.attempt);
			break;
		}

		case 'started':
		case 'head':
		case 'chunk': {
			break;
		}
	}
}
