import {hash32, type Random} from '../../base/index.js';
import {
	runKey,
	type AttemptStart,
	type Call,
	type EndpointEvent,
	type RecordedRun,
	type Refusal,
	type RunCompletion,
	type RunRecord,
	type TableAnswer,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';
import {
	RunRecordWriter,
	Sweep,
	claimOperation,
	releaseOperation,
	completionOperation,
	type Claimant,
	type RunRecordWriterOutput,
	type RunEnding,
	type RunOperationResult,
	type RunRow,
	type RunOperationBase,
} from '../run-records/index.js';

/** Timeout of a claim, in milliseconds; the attempt occupies a slot in the batch meanwhile. */
const claimTimeoutMs = 5000;

/** Time for which the write of a completion or clean-up is retried, in milliseconds. */
const backgroundTimeoutMs = 600_000;

/** Maximum size of an answer that is stored in the run record, in UTF-16 code units. */
const maxStoredSize = 16 * 1024;

/** Result of a claim. */
export type ClaimEvent =
	| {readonly type: 'granted'; readonly attempt: string}
	| {
			readonly type: 'refused';
			readonly attempt: string;
			readonly refusal: Refusal;
	  }
	/** The call has already completed; its answer is in the record. */
	| {
			readonly type: 'replay';
			readonly attempt: string;
			readonly record: RunCompletion;
	  };

type Claim = {
	readonly key: string;
	readonly claimant: Claimant;
	row: RunRow;
	state: 'pending' | 'granted';
	status: number | undefined;
	headers: Readonly<Record<string, string>>;
	binary: boolean;
	readonly chunks: string[];
	size: number;
};

export type ClaimsOptions = {
	readonly endpoint: string;
	readonly incarnation: string;
	/** Wall-clock time at monotonic time 0, in milliseconds since 1970. */
	readonly epochMs: number;
	/** Spreads the sweeps of expired run records; without it there are none. */
	readonly random: Random | undefined;
};

/** Output collected since the last call of `takeOutput`. */
export type ClaimsOutput = {
	readonly effects: CommonEffect[];
	readonly events: ClaimEvent[];
};

/** At-most-once execution in the sidecar: claims a call before it runs, and records its outcome. */
export class Claims {
	readonly #options: ClaimsOptions;
	readonly #runRecordWriter = new RunRecordWriter('claims');
	readonly #sweep: Sweep | undefined;
	/** By attempt. */
	readonly #claims = new Map<string, Claim>();
	#output: ClaimsOutput = {effects: [], events: []};

	constructor(options: ClaimsOptions) {
		this.#options = options;
		this.#sweep = options.random && new Sweep(options.random);
	}

	/** Claims and table writes in progress. */
	get size(): number {
		return this.#runRecordWriter.size;
	}

	nextWake(): number | undefined {
		const times = [
			this.#runRecordWriter.nextWake(),
			this.#sweep?.nextWake(),
		].filter((time) => time !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	/** Returns the output since the last call, and clears it. */
	takeOutput(): ClaimsOutput {
		const output = this.#output;
		this.#output = {effects: [], events: []};
		return output;
	}

	/** Starts to claim a non-idempotent call in the table; it may run once the claim is granted. */
	begin(start: AttemptStart, deadline: number, now: number): void {
		const claim: Claim = {
			key: runKey(
				start.profile.contract.workspace,
				start.idempotencyKey ?? start.requestId,
			),
			claimant: {
				attempt: start.attempt,
				requestId: start.requestId,
				endpoint: this.#options.endpoint,
				incarnation: this.#options.incarnation,
				fingerprint: fingerprint(start.call),
				endsBy: this.#options.epochMs + deadline,
			},
			row: {type: 'absent'},
			state: 'pending',
			status: undefined,
			headers: {},
			binary: false,
			chunks: [],
			size: 0,
		};
		this.#claims.set(start.attempt, claim);
		const giveUpAt = Math.min(deadline, now + claimTimeoutMs);
		const base = this.#operationBase(claim, `claim/${start.attempt}`, now);
		this.#apply(
			this.#runRecordWriter.begin(
				claimOperation(
					{...base, giveUpAt, persistent: false},
					claim.claimant,
					start.superseded ?? [],
				),
				now,
			),
			now,
		);
	}

	/** Releases the claim of an attempt that will not run, in the background. */
	release(attempt: string, now: number): void {
		const claim = this.#claims.get(attempt);
		if (!claim) {
			return;
		}

		this.#claims.delete(attempt);
		this.#runRecordWriter.drop(`claim/${attempt}`);
		const base = this.#operationBase(claim, `clean-up/${attempt}`, now);
		this.#apply(
			this.#runRecordWriter.begin(releaseOperation(base, claim.claimant), now),
			now,
		);
	}

	/** Collects the answer of a granted attempt for the run record, unless it exceeds the maximum size. */
	addAnswerEvent(attempt: string, event: EndpointEvent): void {
		const claim = this.#claims.get(attempt);
		if (!claim) {
			return;
		}

		if (event.type === 'head') {
			claim.status = event.status;
			claim.headers = event.headers;
			claim.binary = event.binary;
		} else if (event.type === 'chunk') {
			claim.size += event.data.length;
			if (claim.size <= maxStoredSize) {
				claim.chunks.push(event.data);
			} else {
				claim.chunks.length = 0;
			}
		}
	}

	/** Records the outcome of a granted attempt in the background. */
	complete(attempt: string, outcome: RunEnding['outcome'], now: number): void {
		const claim = this.#claims.get(attempt);
		if (!claim) {
			return;
		}

		this.#claims.delete(attempt);
		const {status, headers, binary, chunks} = claim;
		const isStored = outcome === 'completed' && claim.size <= maxStoredSize;
		const ending: RunEnding = {
			outcome,
			status,
			answer: isStored ? {headers: {...headers}, binary, chunks} : undefined,
		};
		const base = this.#operationBase(claim, `completion/${attempt}`, now);
		this.#apply(
			this.#runRecordWriter.begin(
				completionOperation(base, claim.claimant, ending),
				now,
			),
			now,
		);
	}

	answer(tableId: string, answer: TableAnswer, now: number): void {
		this.#apply(this.#runRecordWriter.answer(tableId, answer, now), now);
		const wallNow = this.#options.epochMs + now;
		this.#output.effects.push(
			...(this.#sweep?.answer(tableId, answer, wallNow) ?? []),
		);
	}

	advance(now: number): void {
		this.#apply(this.#runRecordWriter.advance(now), now);
		this.#output.effects.push(...(this.#sweep?.advance(now) ?? []));
	}

	#operationBase(claim: Claim, id: string, now: number): RunOperationBase {
		return {
			id,
			key: claim.key,
			known: claim.row,
			giveUpAt: now + backgroundTimeoutMs,
			persistent: true,
			wallNow: this.#options.epochMs + now,
		};
	}

	#apply(output: RunRecordWriterOutput, now: number): void {
		this.#output.effects.push(...output.effects);
		for (const {id, result} of output.settled) {
			const [kind, ...rest] = id.split('/');
			this.#count(kind!, result);
			if (kind === 'claim') {
				this.#onClaim(rest.join('/'), result, now);
			}
		}
	}

	#count(kind: string, result: RunOperationResult): void {
		this.#output.effects.push({
			type: 'count',
			name: 'run_record',
			value: 1,
			tags: {kind, result: result.type},
		});
	}

	#onClaim(attempt: string, result: RunOperationResult, now: number): void {
		const claim = this.#claims.get(attempt)!;
		switch (result.type) {
			case 'written': {
				claim.row = result.row;
				claim.state = 'granted';
				this.#output.events.push({type: 'granted', attempt});
				break;
			}

			case 'stopped': {
				this.#claims.delete(attempt);
				this.#output.events.push(this.#conflictEvent(claim, result.row, now));
				break;
			}

			case 'unavailable': {
				if (result.uncertain) {
					this.release(attempt, now);
				} else {
					this.#claims.delete(attempt);
				}

				this.#output.events.push({
					type: 'refused',
					attempt,
					refusal: {reason: 'claim_unavailable', retryAfterMs: 1000},
				});
				break;
			}
		}
	}

	/** Event for a claim that conflicts with the existing run record. */
	#conflictEvent(claim: Claim, row: RunRow, now: number): ClaimEvent {
		const {attempt} = claim.claimant;
		const record = row.type === 'present' ? row.record : undefined;
		if (record?.revoked.includes(attempt)) {
			const refusal = {reason: 'cancelled', retryAfterMs: 0} as const;
			return {type: 'refused', attempt, refusal};
		}

		const recorded = this.#recordedRun(claim, record, now);
		const hasRecordedAnswer = record?.state === 'completed' && record.answer;
		if (recorded.state === 'completed' && hasRecordedAnswer) {
			return {type: 'replay', attempt, record};
		}

		const retryAfterMs = recorded.state === 'running' ? 1000 : 0;
		const refusal = {reason: 'duplicate', retryAfterMs, recorded} as const;
		return {type: 'refused', attempt, refusal};
	}

	#recordedRun(
		claim: Claim,
		record: RunRecord | undefined,
		now: number,
	): RecordedRun {
		if (!record || record.state === 'revoked') {
			return {state: 'unknown'};
		}

		const {attempt} = record;
		if (record.fingerprint !== claim.claimant.fingerprint) {
			return {state: 'mismatch', attempt};
		}

		if (record.state === 'completed') {
			return {state: record.outcome, attempt, status: record.status};
		}

		return {
			state: this.#mayBeRunning(record, now) ? 'running' : 'unknown',
			attempt,
		};
	}

	#mayBeRunning(
		record: Extract<RunRecord, {state: 'claimed'}>,
		now: number,
	): boolean {
		const {endpoint, incarnation, epochMs} = this.#options;
		return record.endpoint === endpoint
			? record.incarnation === incarnation && this.#claims.has(record.attempt)
			: epochMs + now < record.endsBy;
	}
}

/** Hash of a call; detects different calls that use the same key by mistake. */
function fingerprint(call: Call): string {
	const text = `${call.method}\n${call.path}\n${call.body}`;
	const hashes = [hash32(`1${text}`), hash32(`2${text}`), text.length];
	return hashes.map((hash) => hash.toString(16)).join('-');
}
