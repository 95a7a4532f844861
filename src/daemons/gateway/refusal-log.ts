import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
import type {CallerRefusal} from './caller-refusal.js';

/** Maximum number of lines about refusals in one interval; the others are counted. */
const maxLines = 20;
const intervalMs = 1000;

/** Log lines about refused callers, bounded because such callers come in crowds. */
export class RefusalLog {
	readonly #log: Log;
	#startedAt = 0;
	#lines = 0;
	#omitted = 0;

	constructor(log: Log) {
		this.#log = log;
	}

	/** Logs a refusal, with the number of those left out since the last line. */
	log({status, reason}: CallerRefusal): void {
		const now = monotonicNow();
		if (now - this.#startedAt >= intervalMs) {
			this.#startedAt = now;
			this.#lines = 0;
		}

		if (this.#lines >= maxLines) {
			this.#omitted++;
			return;
		}

		this.#lines++;
		const omitted = this.#omitted;
		this.#omitted = 0;
		this.#log.info('caller_refused', {
			status,
			reason,
			...(omitted > 0 && {omitted}),
		});
	}
}
