import type {Route} from '../../interfaces/index.js';

/** Multiple of the expected time after which an engine counts as silent although it is alive, and a constant beyond it, in milliseconds. */
const streamFactor = 4;
const streamExtraMs = 500;

/** Least such time, as a multiple of the objective: an overloaded engine answers late, and sending its work elsewhere as well adds to the overload. */
const streamObjectiveFactor = 1.5;

/** Silence of an engine after which it is asked whether it is alive, in milliseconds. */
const engineCheckMs = 400;

/** Multiple of the expected time after which a plain service counts as silent; its slowest hundredth takes five times the mean. */
const serviceFactor = 4;

/** Multiple of the gap target after which a stream counts as silent although its engine is alive, and the least such time in milliseconds. */
const gapFactor = 6;
const minGapMs = 1500;

/** Longest silence within a plain service's answer, in milliseconds; its bytes leave together. */
const serviceGapMs = 250;

/** Longest silences of an endpoint before a request is sent elsewhere, in milliseconds. */
export type Patience = {
	readonly firstByteMs: number;
	readonly gapMs: number;
	/** Silence after which the endpoint is asked whether it is alive; a dead one is given up at once. */
	readonly checkMs: number | undefined;
};

/** How long to wait for an endpoint. Without another send left, silence of one that is alive changes nothing and only the request's own time counts; one that is dead is still given up, so that the caller learns it at once. */
export function patience(
	route: Route,
	expectedMs: number,
	canSendAgain: boolean,
): Patience {
	const unlimited: Patience = {
		firstByteMs: route.timeoutMs,
		gapMs: route.timeoutMs,
		checkMs: route.isStream ? engineCheckMs : undefined,
	};
	if (!canSendAgain) {
		return unlimited;
	}

	switch (route.repetition) {
		case 'once': {
			return unlimited;
		}

		case 'idempotent': {
			return {
				firstByteMs: Math.max(expectedMs * serviceFactor, route.objectiveMs),
				gapMs: serviceGapMs,
				checkMs: undefined,
			};
		}

		case 'resumable': {
			return {
				firstByteMs: Math.max(
					expectedMs * streamFactor + streamExtraMs,
					route.objectiveMs * streamObjectiveFactor,
				),
				gapMs: Math.max((route.gapTargetMs ?? 0) * gapFactor, minGapMs),
				checkMs: engineCheckMs,
			};
		}
	}
}
