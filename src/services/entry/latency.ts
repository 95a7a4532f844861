import type {Outliers} from './outliers.js';
import type {EntryAttempt, Progress} from './progress.js';

/** Records the time to the first token, or the gap since the previous chunk, for outlier detection when a chunk arrives. */
export function recordLatency(
	outliers: Outliers,
	progress: Progress,
	attempt: EntryAttempt,
	now: number,
): void {
	const {kind, contract} = progress.request.profile;
	if (kind !== 'model') {
		return;
	}

	const {name} = attempt.endpoint;
	switch (attempt.measures) {
		case 'firstToken': {
			const {sentAt, promisedMs} = attempt;
			outliers.recordFirstToken(name, now - sentAt, promisedMs, now);
			attempt.measures = 'gap';
			break;
		}

		case 'gap': {
			outliers.recordGap(name, now - attempt.lastChunkAt, contract.gapMs);
			break;
		}

		case 'nothing': {
			break;
		}
	}

	attempt.lastChunkAt = now;
}
