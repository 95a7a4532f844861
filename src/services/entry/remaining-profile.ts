import type {Profile} from '../../interfaces/index.js';
import type {Progress} from './progress.js';

/** Minimum first-token target that is sent, in milliseconds; the message schema requires a positive value. */
const minTargetMs = 1;

/**
 * Reduces the first-token target of a profile by the time already spent,
 * divided by the contract's patience. Otherwise each further endpoint would
 * grant the full target again to a request that has already waited elsewhere.
 */
export function remainingProfile(profile: Profile, elapsedMs: number): Profile {
	const {contract} = profile;
	const remainingTargetMs =
		contract.firstTokenMs - elapsedMs / contract.patience;
	return {
		...profile,
		contract: {
			...contract,
			firstTokenMs: Math.max(minTargetMs, remainingTargetMs),
		},
	};
}

/** Profile for the request's next attempt; an answer that is continued at another endpoint gets the full target again. */
export function currentProfile(
	{request, deadline, sequence}: Progress,
	now: number,
): Profile {
	const elapsedMs = now - (deadline - request.timeoutMs);
	return sequence > 0
		? request.profile
		: remainingProfile(request.profile, elapsedMs);
}
