import {z} from 'zod';
import type {Row, TableAnswer, TableCall} from '../../interfaces/index.js';

/** Time for which a lease holds after its last renewal, in milliseconds. */
export const leaseMs = 30_000;
/** Part of the lease that its owner leaves unused, in milliseconds: covers a command's way to the engine and clocks that run at different rates. */
const marginMs = 3000;

const ownerSchema = z.object({
	/** Run of a sidecar. */
	owner: z.string(),
	/** Fencing token; rises with each change of owner. */
	token: z.int().positive(),
	/** Makes each write distinct, so that one whose answer was lost is recognised. */
	write: z.int(),
});

/** Key of an endpoint's lease. */
export function leaseKey(endpoint: string): string {
	return `endpoint/${endpoint}/owner`;
}

/** The lease under which a sidecar gives commands to its endpoint; all times are of the own monotonic clock. */
export class Lease {
	readonly #key: string;
	readonly #owner: string;
	#row: Row | undefined;
	#isRead = false;
	/** Time since which the row has been as it is, as far as seen. */
	#seenAt = 0;
	#sent:
		| {readonly value: string; readonly at: number; readonly token: number}
		| undefined;

	#token = 0;
	#validUntil = -Infinity;
	#writes = 0;

	constructor(endpoint: string, owner: string) {
		this.#key = leaseKey(endpoint);
		this.#owner = owner;
	}

	/** The fencing token while the lease has time left, otherwise undefined. */
	token(now: number): number | undefined {
		return now < this.#validUntil ? this.#token : undefined;
	}

	/** Time until which a command may be given, in milliseconds. */
	get validUntil(): number {
		return this.#validUntil;
	}

	/** Set once this owner has held the lease; another owner after that acts in its place. */
	get wasHeld(): boolean {
		return this.#token > 0;
	}

	/** Gives the lease up after a command was refused for its token. */
	drop(): void {
		this.#validUntil = -Infinity;
		this.#isRead = false;
	}

	/** Next step towards holding the lease, or the time until which another owner has to be waited for. */
	next(
		now: number,
	): TableCall | {readonly type: 'wait'; readonly until: number} {
		if (!this.#isRead) {
			return {type: 'read', key: this.#key};
		}

		const current = this.#row && ownerSchema.parse(JSON.parse(this.#row.value));
		const isOwn = current?.owner === this.#owner;
		const freeAt = this.#seenAt + leaseMs;
		if (current && !isOwn && now < freeAt) {
			return {type: 'wait', until: freeAt};
		}

		const token = (current?.token ?? 0) + (isOwn ? 0 : 1);
		const write = ++this.#writes;
		const value = JSON.stringify({owner: this.#owner, token, write});
		this.#sent = {value, at: now, token};
		return {
			type: 'commit',
			transaction: {
				checks: [{key: this.#key, revision: this.#row?.revision ?? 0}],
				writes: [{key: this.#key, value}],
			},
		};
	}

	onAnswer(answer: TableAnswer, now: number): void {
		switch (answer.type) {
			case 'row': {
				this.#observe(answer.row, now);
				break;
			}

			case 'decision': {
				const {decision} = answer;
				if (decision.type === 'conflict') {
					this.#observe(decision.current, now);
				} else if (this.#sent) {
					const {value} = this.#sent;
					const {revision} = decision;
					this.#observe({key: this.#key, value, revision}, now);
				}

				break;
			}

			case 'uncertain': {
				this.#isRead = false;
				break;
			}

			case 'unavailable':
			case 'rows': {
				break;
			}
		}
	}

	#observe(row: Row | undefined, now: number): void {
		if (!this.#isRead || row?.revision !== this.#row?.revision) {
			const isSame = row !== undefined && row.revision === this.#row?.revision;
			this.#seenAt = isSame ? this.#seenAt : now;
		}

		this.#row = row;
		this.#isRead = true;
		if (this.#sent && row?.value === this.#sent.value) {
			// Counted from before the write was sent, so that others wait at least as long.
			this.#token = this.#sent.token;
			this.#validUntil = this.#sent.at + leaseMs - marginMs;
		} else {
			this.#validUntil = -Infinity;
		}
	}
}
