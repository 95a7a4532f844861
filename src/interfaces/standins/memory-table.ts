import type {TableAnswer, TableCall} from '../messages/index.js';
import type {Decision, Row, Table, Transaction} from '../ports/index.js';

/** Table stand-in that holds its rows in memory. */
export class MemoryTable implements Table {
	readonly #rows = new Map<string, Row>();
	#revision = 0;

	async read(key: string): Promise<Row | undefined> {
		return this.readSync(key);
	}

	async scan(prefix: string, after = '', limit = 1000): Promise<Row[]> {
		return this.scanSync(prefix, after, limit);
	}

	/** Synchronous read for harnesses that run in virtual time. */
	readSync(key: string): Row | undefined {
		return this.#rows.get(key);
	}

	/** Synchronous scan for harnesses that run in virtual time. */
	scanSync(prefix: string, after = '', limit = 1000): Row[] {
		return [...this.#rows.values()]
			.filter((row) => row.key.startsWith(prefix) && row.key > after)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1))
			.slice(0, limit);
	}

	async commit(transaction: Transaction): Promise<Decision> {
		return this.commitSync(transaction);
	}

	/** Synchronous read for harnesses that run in virtual time. */
	rowSync(key: string): Row | undefined {
		return this.#rows.get(key);
	}

	/** Carries out an operation that a state machine requested. */
	callSync(call: TableCall): TableAnswer {
		switch (call.type) {
			case 'read': {
				return {type: 'row', row: this.readSync(call.key)};
			}

			case 'scan': {
				const rows = this.scanSync(call.prefix, call.after, call.limit);
				return {type: 'rows', rows};
			}

			case 'commit': {
				return {
					type: 'decision',
					decision: this.commitSync(call.transaction),
				};
			}
		}
	}

	/** Synchronous commit for harnesses that run in virtual time. */
	commitSync(transaction: Transaction): Decision {
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
