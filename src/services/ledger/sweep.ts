import type {Random} from '../../base/index.js';
import {
	runPrefix,
	type Row,
	type TableAnswer,
	type TableCall,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';
import {parseRunRow} from './work.js';

/** Mean time between two pages of one sweeper, in milliseconds: 5,400 sidecars then make 90 reads/s of the table's 2,000. */
const pageIntervalMs = 60_000;

/** Rows looked at in one page. */
const pageRows = 200;

type TableEffect = Extract<CommonEffect, {type: 'table'}>;

/** Deletes run records whose retention has passed, one page at a time. */
export class Sweep {
	readonly #random: Random;
	#nextAt: number | undefined;
	#cursor: string;
	#round = 0;

	constructor(random: Random) {
		this.#random = random;
		// Sweepers start at different places, so that they do not all read the same page.
		const letter = 'abcdefghijklmnopqrstuvwxyz'[random.integer(26)]!;
		this.#cursor = `${runPrefix}${letter}`;
	}

	nextWake(): number | undefined {
		return this.#nextAt;
	}

	advance(now: number): TableEffect[] {
		if (this.#nextAt === undefined) {
			this.#plan(now);
		}

		if (this.#nextAt! > now) {
			return [];
		}

		this.#plan(now);
		return [
			this.#effect({
				type: 'scan',
				prefix: runPrefix,
				after: this.#cursor,
				limit: pageRows,
			}),
		];
	}

	/** Handles the answer to its own scan; `wallNow` is in milliseconds since 1970. */
	answer(tableId: string, answer: TableAnswer, wallNow: number): TableEffect[] {
		if (tableId !== `sweep:${this.#round}` || answer.type !== 'rows') {
			return [];
		}

		const {rows} = answer;
		this.#cursor = rows.length < pageRows ? runPrefix : rows.at(-1)!.key;
		const expired = rows.filter((row) => isExpired(row, wallNow));
		if (expired.length === 0) {
			return [];
		}

		return [
			this.#effect({
				type: 'commit',
				transaction: {
					checks: expired.map(({key, revision}) => ({key, revision})),
					writes: expired.map(({key}) => ({key, value: null})),
				},
			}),
		];
	}

	#plan(now: number): void {
		this.#nextAt = now + pageIntervalMs * (0.5 + this.#random.next());
	}

	#effect(call: TableCall): TableEffect {
		this.#round++;
		return {type: 'table', id: `sweep:${this.#round}`, call};
	}
}

function isExpired(row: Row, wallNow: number): boolean {
	const run = parseRunRow(row);
	return run.type === 'present' && run.record.expiresAt <= wallNow;
}
