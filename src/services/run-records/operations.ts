import {
	runRecordVersion,
	runRetentionMs,
	type RunClaim,
	type RunRecord,
	type StoredAnswer,
} from '../../interfaces/index.js';
import type {RunRow, RunOperationStep, RunOperation} from './operation.js';

/** The attempt that claims a run, the sidecar that runs it, and the time by which it ends. */
export type Claimant = Pick<
	RunClaim,
	| 'attempt'
	| 'requestId'
	| 'endpoint'
	| 'incarnation'
	| 'fingerprint'
	| 'endsBy'
>;

/** Parts of a `RunOperation` that are the same for claims, completions, releases and revocations. */
export type RunOperationBase = Pick<
	RunOperation,
	'id' | 'key' | 'known' | 'giveUpAt' | 'persistent'
> & {
	/** Wall-clock time at which the operation begins, in milliseconds since 1970; the retention of the written record counts from it. */
	readonly wallNow: number;
};

/** How a claimed call ended. */
export type RunEnding = {
	readonly outcome: 'completed' | 'failed' | 'unknown';
	readonly status: number | undefined;
	readonly answer: StoredAnswer | undefined;
};

const stopStep: RunOperationStep = {type: 'stop'};

function commonFields(
	base: RunOperationBase,
	writeId: string,
	revoked: string[],
) {
	return {
		schema: runRecordVersion,
		writeId,
		revoked,
		expiresAt: base.wallNow + runRetentionMs,
	};
}

function isOwnClaim(row: RunRow, claimant: Claimant): boolean {
	return (
		row.type === 'present' &&
		row.record.state === 'claimed' &&
		row.record.attempt === claimant.attempt &&
		row.record.incarnation === claimant.incarnation
	);
}

function revokedAttempts(row: RunRow): string[] {
	return row.type === 'present' ? row.record.revoked : [];
}

/**
 * Claims the right to run a call. Stops when the record holds the claim of
 * another attempt, a completion, or the revocation of this attempt.
 * `superseded` names earlier attempts of the same request that are known not
 * to have run; a claim of one of them is replaced.
 */
export function claimOperation(
	base: RunOperationBase,
	claimant: Claimant,
	superseded: readonly string[],
): RunOperation {
	const writeId = `${claimant.attempt}/claim/${claimant.incarnation}`;
	const write = (revoked: string[]): RunOperationStep => ({
		type: 'write',
		record: {
			...commonFields(base, writeId, revoked),
			...claimant,
			state: 'claimed',
		},
	});
	return {
		...base,
		writeId,
		decide(row) {
			switch (row.type) {
				case 'absent': {
					return write([]);
				}

				case 'unreadable': {
					return stopStep;
				}

				case 'present': {
					const {record} = row;
					if (record.revoked.includes(claimant.attempt)) {
						return stopStep;
					}

					return isClaimable(record, superseded)
						? write(record.revoked)
						: stopStep;
				}
			}
		},
	};
}

/** Records how a claimed call ended. Stops when the record is no longer the claim of this attempt. */
export function completionOperation(
	base: RunOperationBase,
	claimant: Claimant,
	ending: RunEnding,
): RunOperation {
	const writeId = `${claimant.attempt}/completion/${claimant.incarnation}`;
	return {
		...base,
		writeId,
		decide: (row) =>
			isOwnClaim(row, claimant)
				? {
						type: 'write',
						record: {
							...commonFields(base, writeId, revokedAttempts(row)),
							...claimant,
							...ending,
							state: 'completed',
						},
					}
				: stopStep,
	};
}

/**
 * Replaces the claim of an attempt that never ran by its revocation. Without
 * a claim it writes the revocation too: a claim that is still in flight to
 * the table then finds a changed row and fails.
 */
export function releaseOperation(
	base: RunOperationBase,
	claimant: Claimant,
): RunOperation {
	const writeId = `${claimant.attempt}/clean-up/${claimant.incarnation}`;
	return {
		...base,
		writeId,
		decide(row) {
			const revoked = revokedAttempts(row);
			const isUnclaimed =
				row.type === 'absent' ||
				(row.type === 'present' && row.record.state === 'revoked');
			if (
				(isUnclaimed && !revoked.includes(claimant.attempt)) ||
				isOwnClaim(row, claimant)
			) {
				return {
					type: 'write',
					record: revocationRecord(base, writeId, [
						...revoked,
						claimant.attempt,
					]),
				};
			}

			return stopStep;
		},
	};
}

/**
 * Revokes a lost attempt, which can then no longer claim the run. Stops when
 * the record holds a claim or a completion, or has the attempt revoked
 * already. `superseded` has the same meaning as in `claimOperation`.
 */
export function revocationOperation(
	base: RunOperationBase,
	attempt: string,
	superseded: readonly string[],
): RunOperation {
	const writeId = `${attempt}/revocation`;
	return {
		...base,
		writeId,
		decide(row) {
			const canRevoke =
				row.type === 'absent' ||
				(row.type === 'present' && isClaimable(row.record, superseded));
			const revoked = revokedAttempts(row);
			return canRevoke && !revoked.includes(attempt)
				? {
						type: 'write',
						record: revocationRecord(base, writeId, [...revoked, attempt]),
					}
				: stopStep;
		},
	};
}

/** Whether the run is neither completed nor claimed by an attempt outside `superseded`. */
function isClaimable(
	record: RunRecord,
	superseded: readonly string[],
): boolean {
	switch (record.state) {
		case 'revoked': {
			return true;
		}

		case 'claimed': {
			return superseded.includes(record.attempt);
		}

		case 'completed': {
			return false;
		}
	}
}

function revocationRecord(
	base: RunOperationBase,
	writeId: string,
	revoked: string[],
): RunRecord {
	return {...commonFields(base, writeId, revoked), state: 'revoked'};
}
