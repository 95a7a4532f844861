import type {
	DutyReading,
	DutyRow,
	DutyWriteResult,
} from '../../interfaces/ports/index.js';
import type {LeaseWrite} from './lease-calls.js';

type Content = {readonly row: DutyRow | undefined; readonly version: number};

/** Store with one row, which can be restored from a backup. */
export class SimulatedStore {
	era = 1;
	#content: Content = {row: undefined, version: 0};
	#backup: Content = this.#content;

	readonly #writesAlways: boolean;

	constructor(writesAlways: boolean) {
		this.#writesAlways = writesAlways;
	}

	read(): DutyReading {
		return {era: this.era, row: this.#content.row};
	}

	write({expectedVersion, record}: LeaseWrite): DutyWriteResult {
		const {row, version} = this.#content;
		if (!this.#writesAlways && (row?.version ?? 0) !== expectedVersion) {
			return {type: 'conflict', ...this.read()};
		}

		// Other tables advance the version of the store as well.
		const next = version + 3;
		this.#content = {
			row: {version: next, text: JSON.stringify(record)},
			version: next,
		};
		return {type: 'written', era: this.era, version: next};
	}

	backUp(): void {
		this.#backup = this.#content;
	}

	restore(): void {
		this.#content = this.#backup;
		this.era++;
	}
}
