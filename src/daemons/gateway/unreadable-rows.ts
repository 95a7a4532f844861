import type {Log} from '../log.js';

/** Maximum number of rows of a table that are logged and remembered, so that a writer without end fills neither the log nor the memory. */
const maxRows = 100;

/** Maximum length of a logged reason, in characters. */
const maxReasonLength = 300;

/** Row of a table that cannot be used. */
export type UnreadableRow = {readonly id: string; readonly reason: string};

/** Logs each unreadable row of a table once, not at every read, until it is readable or gone. */
export class UnreadableRows {
	readonly #log: (row: UnreadableRow) => void;
	/** Reasons by id. */
	readonly #reasons = new Map<string, string>();

	/** `field` is the name under which the id of a row is logged. */
	constructor(log: Log, event: string, field: string) {
		this.#log = ({id, reason}) => {
			log.warn(event, {[field]: id, reason});
		};
	}

	/** Handles all unreadable rows of a table that has been read whole. */
	replace(rows: readonly UnreadableRow[]): void {
		const ids = new Set(rows.map(({id}) => id));
		for (const id of this.#reasons.keys()) {
			if (!ids.has(id)) {
				this.#reasons.delete(id);
			}
		}

		for (const row of rows) {
			this.add(row);
		}
	}

	/** Handles one unreadable row. */
	add({id, reason: wholeReason}: UnreadableRow): void {
		const reason = wholeReason.slice(0, maxReasonLength);
		const isKnown = this.#reasons.has(id);
		if (
			this.#reasons.get(id) !== reason &&
			(isKnown || this.#reasons.size < maxRows)
		) {
			this.#reasons.set(id, reason);
			this.#log({id, reason});
		}
	}
}
