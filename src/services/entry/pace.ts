import type {Outliers} from './outliers.js';
import type {EntryAttempt, Progress} from './progress.js';

/** Tells the outlier detection how fast the endpoint of an attempt is, when a chunk arrives. */
export function measurePace(
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
			outliers.firstToken(name, now - sentAt, promisedMs, now);
			attempt.measures = 'gap';
			break;
		}

		case 'gap': {
			outliers.gap(name, now - attempt.lastChunkAt, contract.gapMs);
			break;
		}

		case 'nothing': {
			break;
		}
	}

	attempt.lastChunkAt = now;
}
