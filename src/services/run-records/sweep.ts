import type {Random} from '../../base/index.js';
import {
	runPrefix,
	type Row,
	type TableAnswer,
	type TableCall,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';
import {parseRunRow} from './operation.js';

/** Mean time between two pages that one sidecar scans, in milliseconds: 5,400 sidecars together then make 90 of the 2,000 reads/s that the table allows. */
const pageIntervalMs = 60_000;

/** Maximum number of rows in a page. */
const maxPageRows = 200;

type TableEffect = Extract<CommonEffect, {type: 'table'}>;

/** Scans the run records page by page and deletes those whose retention has passed. */
export class Sweep {
	readonly #random: Random;
	#nextPageAt: number | undefined;
	#cursor: string;
	#callNumber = 0;

	constructor(random: Random) {
		this.#random = random;
		// Each sidecar starts at a random letter, so that they do not all scan the same page.
		const letter = 'abcdefghijklmnopqrstuvwxyz'[random.integer(26)]!;
		this.#cursor = `${runPrefix}${letter}`;
	}

	nextWake(): number | undefined {
		return this.#nextPageAt;
	}

	advance(now: number): TableEffect[] {
		if (this.#nextPageAt === undefined) {
			this.#scheduleNextPage(now);
		}

		if (this.#nextPageAt! > now) {
			return [];
		}

		this.#scheduleNextPage(now);
		return [
			this.#createEffect({
				type: 'scan',
				prefix: runPrefix,
				after: this.#cursor,
				limit: maxPageRows,
			}),
		];
	}

	/** Handles the answer to the last scan and ignores all others; `wallNow` is in milliseconds since 1970. */
	answer(tableId: string, answer: TableAnswer, wallNow: number): TableEffect[] {
		if (tableId !== `sweep:${this.#callNumber}` || answer.type !== 'rows') {
			return [];
		}

		const {rows} = answer;
		this.#cursor = rows.length < maxPageRows ? runPrefix : rows.at(-1)!.key;
		const expired = rows.filter((row) => isExpired(row, wallNow));
		if (expired.length === 0) {
			return [];
		}

		return [
			this.#createEffect({
				type: 'commit',
				transaction: {
					checks: expired.map(({key, revision}) => ({key, revision})),
					writes: expired.map(({key}) => ({key, value: null})),
				},
			}),
		];
	}

	#scheduleNextPage(now: number): void {
		this.#nextPageAt = now + pageIntervalMs * (0.5 + this.#random.next());
	}

	#createEffect(call: TableCall): TableEffect {
		this.#callNumber++;
		return {type: 'table', id: `sweep:${this.#callNumber}`, call};
	}
}

function isExpired(row: Row, wallNow: number): boolean {
	const run = parseRunRow(row);
	return run.type === 'present' && run.record.expiresAt <= wallNow;
}
