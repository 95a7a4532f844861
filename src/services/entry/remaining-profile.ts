import type {Profile} from '../../interfaces/index.js';
import type {Progress} from './progress.js';

/** Least first-token target that is sent, in milliseconds; the message schema requires a positive one. */
const smallestTargetMs = 1;

/**
 * The profile with the part of the first-token target that is left after
 * `elapsedMs`. Otherwise each further endpoint would grant the whole target
 * again to a request that has waited elsewhere.
 */
export function remainingProfile(profile: Profile, elapsedMs: number): Profile {
	const {contract} = profile;
	const left = contract.firstTokenMs - elapsedMs / contract.patience;
	return {
		...profile,
		contract: {...contract, firstTokenMs: Math.max(smallestTargetMs, left)},
	};
}

/** Profile for the request's next attempt; an answer that continues elsewhere gets the whole target again. */
export function currentProfile(
	{request, deadline, sequence}: Progress,
	now: number,
): Profile {
	const elapsedMs = now - (deadline - request.timeoutMs);
	return sequence > 0
		? request.profile
		: remainingProfile(request.profile, elapsedMs);
}
