import type {CallerLimits} from '../../interfaces/index.js';
import type {Finding} from './finding.js';

/** Memory that a gateway without requests uses, in MiB: the peak that docs/design/hard-load.md states for one. */
const idleMemoryMb = 72;

const bytesPerMb = 1024 * 1024;

/** Findings on the limits for callers; `memoryMb` is the memory of the smallest instance, in MiB. */
export function limitFindings(
	{maxBodyBytes, headerTimeoutMs}: CallerLimits,
	memoryMb: number,
): Finding[] {
	const findings: Finding[] = [];
	const availableMb = Math.max(0, memoryMb - idleMemoryMb);
	if (maxBodyBytes < 0) {
		findings.push({
			severity: 'error',
			path: {type: 'limit', field: 'maxBodyBytes'},
			message: 'no request fits',
		});
	} else if (maxBodyBytes > availableMb * bytesPerMb) {
		findings.push({
			severity: 'error',
			path: {type: 'limit', field: 'maxBodyBytes'},
			message: `one such body does not fit into the ${availableMb} MiB that an instance with ${memoryMb} MiB has for requests`,
		});
	}

	if (headerTimeoutMs === 0) {
		findings.push({
			severity: 'warning',
			path: {type: 'limit', field: 'headerTimeoutMs'},
			message: 'no time limit applies to heads',
		});
	}

	return findings;
}
