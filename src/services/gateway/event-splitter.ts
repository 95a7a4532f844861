const newline = 0x0a;
const carriageReturn = 0x0d;
const idField = 'id:';

/** One complete event of a stream, with the empty line that ends it. */
export type StreamEvent = {
	readonly bytes: Uint8Array;
	/** Value of its `id` field; undefined when there is none or it is no integer. */
	readonly id: number | undefined;
};

/**
 * Splits a server-sent event stream into complete events. An endpoint that crashes
 * may stop in the middle of an event; the incomplete one must not reach the caller.
 */
export class EventSplitter {
	#pending: Uint8Array = new Uint8Array(0);

	/** Number of bytes of the event that is not complete yet. */
	get pendingLength(): number {
		return this.#pending.length;
	}

	push(chunk: Uint8Array): StreamEvent[] {
		const bytes = concat(this.#pending, chunk);
		const events: StreamEvent[] = [];
		let eventStart = 0;
		let lineStart = 0;
		for (
			let end = bytes.indexOf(newline);
			end !== -1;
			end = bytes.indexOf(newline, end + 1)
		) {
			const isEmpty =
				end === lineStart ||
				(end === lineStart + 1 && bytes[lineStart] === carriageReturn);
			lineStart = end + 1;
			if (isEmpty) {
				const event = bytes.subarray(eventStart, lineStart);
				events.push({bytes: event, id: parseEventId(event)});
				eventStart = lineStart;
			}
		}

		this.#pending = bytes.subarray(eventStart);
		return events;
	}
}

function concat(first: Uint8Array, second: Uint8Array): Uint8Array {
	if (first.length === 0) {
		return second;
	}

	const joined = new Uint8Array(first.length + second.length);
	joined.set(first);
	joined.set(second, first.length);
	return joined;
}

const decoder = new TextDecoder('latin1');

function parseEventId(event: Uint8Array): number | undefined {
	for (const line of decoder.decode(event).split(/\r?\n/v)) {
		if (line.startsWith(idField)) {
			const id = Number(line.slice(idField.length).trim());
			return Number.isSafeInteger(id) ? id : undefined;
		}
	}

	return undefined;
}
