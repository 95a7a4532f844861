const newline = 0x0a;
const carriageReturn = 0x0d;
const idField = 'id:';

/** One whole event of a stream, with the empty line that ends it. */
export type StreamEvent = {
	readonly bytes: Uint8Array;
	/** Number of the event; undefined when it has none. */
	readonly id: number | undefined;
};

/**
 * Cuts a server-sent event stream into whole events. An endpoint that crashes
 * may stop in the middle of an event; the rest of it must not reach the caller.
 */
export class EventSplitter {
	#rest: Uint8Array = new Uint8Array(0);

	/** Bytes of an event that has not ended yet. */
	get restLength(): number {
		return this.#rest.length;
	}

	push(chunk: Uint8Array): StreamEvent[] {
		const bytes = concat(this.#rest, chunk);
		const events: StreamEvent[] = [];
		let start = 0;
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
				const event = bytes.subarray(start, lineStart);
				events.push({bytes: event, id: idOf(event)});
				start = lineStart;
			}
		}

		this.#rest = bytes.subarray(start);
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

function idOf(event: Uint8Array): number | undefined {
	for (const line of decoder.decode(event).split(/\r?\n/v)) {
		if (line.startsWith(idField)) {
			const id = Number(line.slice(idField.length).trim());
			return Number.isSafeInteger(id) ? id : undefined;
		}
	}

	return undefined;
}
