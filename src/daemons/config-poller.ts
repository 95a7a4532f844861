import type {Disposable} from '../base/index.js';
import type {InstanceList, Row, Table} from '../platform/index.js';
import type {Catalogue} from '../services/index.js';
import type {Log} from './log.js';

const intervalMs = 1000;
const pageSize = 1000;

export type ConfigPollerOptions = {
	readonly table: Table;
	readonly instances: InstanceList;
	readonly catalogue: Catalogue;
	readonly log: Log;
	/** Called after each successful read. */
	readonly onDidRead: () => void;
};

/** Reads the records and the instance list at a fixed interval. */
export class ConfigPoller implements Disposable {
	readonly #options: ConfigPollerOptions;
	readonly #timer: NodeJS.Timeout;
	#reading = false;
	#failing = false;

	constructor(options: ConfigPollerOptions) {
		this.#options = options;
		this.#timer = setInterval(() => {
			void this.read();
		}, intervalMs);
	}

	/** Reads once; a failure keeps what is in force. */
	async read(): Promise<void> {
		if (this.#reading) {
			return;
		}

		this.#reading = true;
		try {
			const [rows, instances] = await Promise.all([
				this.#scanRecords(),
				this.#options.instances.list(),
			]);
			this.#options.catalogue.replaceAll(rows);
			this.#options.catalogue.setInstances(instances);
			this.#setFailing(false);
			this.#options.onDidRead();
		} catch (error) {
			this.#setFailing(true, String(error));
		} finally {
			this.#reading = false;
		}
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	async #scanRecords(): Promise<Row[]> {
		const rows: Row[] = [];
		for (;;) {
			const after = rows.at(-1)?.key;
			const page = await this.#options.table.scan('record/', after, pageSize);
			rows.push(...page);
			if (page.length < pageSize) {
				return rows;
			}
		}
	}

	#setFailing(failing: boolean, reason = ''): void {
		if (failing !== this.#failing) {
			this.#failing = failing;
			if (failing) {
				this.#options.log.warn('platform_lost', {reason});
			} else {
				this.#options.log.info('platform_back');
			}
		}
	}
}
