import {
	runRecordVersion,
	runRetentionMs,
	type RunClaim,
	type RunRecord,
	type StoredAnswer,
} from '../../interfaces/index.js';
import type {RunRow, RunStep, RunWork} from './work.js';

/** Identity and times of a claim. */
export type Claimant = Pick<
	RunClaim,
	| 'attempt'
	| 'requestId'
	| 'endpoint'
	| 'incarnation'
	| 'fingerprint'
	| 'endsBy'
>;

/** Parts of `RunWork` that do not depend on what is intended. */
export type WorkFrame = Pick<
	RunWork,
	'id' | 'key' | 'known' | 'giveUpAt' | 'persistent'
> & {
	/** Wall-clock time at which the work begins, in milliseconds since 1970. */
	readonly wallNow: number;
};

/** How a claimed call ended. */
export type RunEnding = {
	readonly outcome: 'completed' | 'failed' | 'unknown';
	readonly status: number | undefined;
	readonly answer: StoredAnswer | undefined;
};

const stop: RunStep = {type: 'stop'};

function common(frame: WorkFrame, writeId: string, revoked: string[]) {
	return {
		schema: runRecordVersion,
		writeId,
		revoked,
		expiresAt: frame.wallNow + runRetentionMs,
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

function revokedOf(row: RunRow): string[] {
	return row.type === 'present' ? row.record.revoked : [];
}

/**
 * Claims the right to run a call. Stops at a record that forbids it: another
 * claim, a completion, or a revocation of this attempt. `superseded` names
 * earlier attempts of the same request that are proved not to have run; the
 * claim of one of these is replaced.
 */
export function claimWork(
	frame: WorkFrame,
	claimant: Claimant,
	superseded: readonly string[],
): RunWork {
	const writeId = `${claimant.attempt}/claim/${claimant.incarnation}`;
	const write = (revoked: string[]): RunStep => ({
		type: 'write',
		record: {...common(frame, writeId, revoked), ...claimant, state: 'claimed'},
	});
	return {
		...frame,
		writeId,
		decide(row) {
			switch (row.type) {
				case 'absent': {
					return write([]);
				}

				case 'unreadable': {
					return stop;
				}

				case 'present': {
					const {record} = row;
					if (record.revoked.includes(claimant.attempt)) {
						return stop;
					}

					return isFree(record, superseded) ? write(record.revoked) : stop;
				}
			}
		},
	};
}

/** Records how a claimed call ended; stops when the record is no longer the claim of this attempt. */
export function completionWork(
	frame: WorkFrame,
	claimant: Claimant,
	ending: RunEnding,
): RunWork {
	const writeId = `${claimant.attempt}/completion/${claimant.incarnation}`;
	return {
		...frame,
		writeId,
		decide: (row) =>
			isOwnClaim(row, claimant)
				? {
						type: 'write',
						record: {
							...common(frame, writeId, revokedOf(row)),
							...claimant,
							...ending,
							state: 'completed',
						},
					}
				: stop,
	};
}

/**
 * Removes the claim of an attempt that was never run. Revokes the attempt
 * when there is no claim, so that one which is still on its way to the table
 * finds a changed row and fails.
 */
export function cleanUpWork(frame: WorkFrame, claimant: Claimant): RunWork {
	const writeId = `${claimant.attempt}/clean-up/${claimant.incarnation}`;
	return {
		...frame,
		writeId,
		decide(row) {
			const revoked = revokedOf(row);
			const free =
				row.type === 'absent' ||
				(row.type === 'present' && row.record.state === 'revoked');
			if (
				(free && !revoked.includes(claimant.attempt)) ||
				isOwnClaim(row, claimant)
			) {
				return {
					type: 'write',
					record: revocation(frame, writeId, [...revoked, claimant.attempt]),
				};
			}

			return stop;
		},
	};
}

/**
 * Takes from a lost attempt the right to claim. Stops at a claim or a
 * completion, and at a record in which the attempt is already revoked.
 * `superseded` is as for `claimWork`.
 */
export function revocationWork(
	frame: WorkFrame,
	attempt: string,
	superseded: readonly string[],
): RunWork {
	const writeId = `${attempt}/revocation`;
	return {
		...frame,
		writeId,
		decide(row) {
			const free =
				row.type === 'absent' ||
				(row.type === 'present' && isFree(row.record, superseded));
			const revoked = revokedOf(row);
			return free && !revoked.includes(attempt)
				? {
						type: 'write',
						record: revocation(frame, writeId, [...revoked, attempt]),
					}
				: stop;
		},
	};
}

/** Whether nobody has the right to run, once the superseded attempts are disregarded. */
function isFree(record: RunRecord, superseded: readonly string[]): boolean {
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

function revocation(
	frame: WorkFrame,
	writeId: string,
	revoked: string[],
): RunRecord {
	return {...common(frame, writeId, revoked), state: 'revoked'};
}
