import type {Route} from '../../interfaces/index.js';

/** Multiple of the expected time after which an engine counts as silent, and a constant beyond it, in milliseconds. */
const streamFactor = 3;
const streamExtraMs = 250;

/** Part of the objective that a first try may use up: the rest must suffice for a second one. */
const streamObjectivePart = 0.6;

/** Multiple of the expected time after which a plain service counts as silent; its slowest hundredth takes five times the mean. */
const serviceFactor = 4;

/** Multiple of the gap target after which a stream counts as silent, and the least such time in milliseconds. */
const gapFactor = 3;
const minGapMs = 600;

/** Longest silence within a plain service's answer, in milliseconds; its bytes leave together. */
const serviceGapMs = 250;

/** Longest silences of an endpoint before a request is sent elsewhere, in milliseconds. */
export type Patience = {
	readonly firstByteMs: number | undefined;
	readonly gapMs: number | undefined;
};

const unlimited: Patience = {firstByteMs: undefined, gapMs: undefined};

/** How long to wait for an endpoint. Without another send left, silence changes nothing and only the request's own time counts. */
export function patience(
	route: Route,
	expectedMs: number,
	canSendAgain: boolean,
): Patience {
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
			};
		}

		case 'resumable': {
			return {
				firstByteMs: Math.max(
					expectedMs * streamFactor + streamExtraMs,
					route.objectiveMs * streamObjectivePart,
				),
				gapMs: Math.max((route.gapTargetMs ?? 0) * gapFactor, minGapMs),
			};
		}
	}
}
