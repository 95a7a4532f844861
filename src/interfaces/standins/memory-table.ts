import type {TableAnswer, TableCall} from '../messages/index.js';
import type {Decision, Row, Table, Transaction} from '../ports/index.js';

/** Table stand-in that holds its rows in memory. */
export class MemoryTable implements Table {
	readonly #rows = new Map<string, Row>();
	#revision = 0;

	async read(key: string): Promise<Row | undefined> {
		return this.readNow(key);
	}

	async scan(prefix: string, after = '', limit = 1000): Promise<Row[]> {
		return this.scanNow(prefix, after, limit);
	}

	/** Synchronous read for harnesses that run in virtual time. */
	readNow(key: string): Row | undefined {
		return this.#rows.get(key);
	}

	/** Synchronous scan for harnesses that run in virtual time. */
	scanNow(prefix: string, after = '', limit = 1000): Row[] {
		return [...this.#rows.values()]
			.filter((row) => row.key.startsWith(prefix) && row.key > after)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1))
			.slice(0, limit);
	}

	async commit(transaction: Transaction): Promise<Decision> {
		return this.commitNow(transaction);
	}

	/** Synchronous read for harnesses that run in virtual time. */
	rowNow(key: string): Row | undefined {
		return this.#rows.get(key);
	}

	/** Carries out an operation that a state machine requested. */
	callNow(call: TableCall): TableAnswer {
		switch (call.type) {
			case 'read': {
				return {type: 'row', row: this.readNow(call.key)};
			}

			case 'scan': {
				const rows = this.scanNow(call.prefix, call.after, call.limit);
				return {type: 'rows', rows};
			}

			case 'commit': {
				return {
					type: 'decision',
					decision: this.commitNow(call.transaction),
				};
			}
		}
	}

	/** Synchronous commit for harnesses that run in virtual time. */
	commitNow(transaction: Transaction): Decision {
		for (const check of transaction.checks) {
			const current = this.#rows.get(check.key);
			if ((current?.revision ?? 0) !== check.revision) {
				return {type: 'conflict', key: check.key, current};
			}
		}

		this.#revision++;
		for (const {key, value} of transaction.writes) {
			if (value === null) {
				this.#rows.delete(key);
			} else {
				this.#rows.set(key, {key, value, revision: this.#revision});
			}
		}

		return {type: 'committed', revision: this.#revision};
	}
}
