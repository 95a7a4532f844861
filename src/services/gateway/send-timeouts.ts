import type {Route} from '../../interfaces/index.js';

/** First-byte timeout of an engine that is alive: a multiple of the expected time, plus a constant in milliseconds. */
const streamFirstByteFactor = 4;
const streamFirstByteExtraMs = 500;

/** Minimum of that timeout, as a multiple of the objective: an overloaded engine answers late, and sending its requests elsewhere as well adds to the overload. */
const minStreamObjectiveFactor = 1.5;

/** Time without data from an engine after which it is probed, in milliseconds, so that one that has ended is noticed soon. */
const livenessCheckMs = 400;

/** First-byte timeout of a plain service, as a multiple of the expected time; its slowest hundredth takes five times the mean. */
const serviceFirstByteFactor = 4;

/** Gap timeout of a stream whose engine is alive: a multiple of the gap target, and its minimum in milliseconds. */
const streamGapFactor = 6;
const minStreamGapMs = 1500;

/** Gap timeout within a plain service's answer, in milliseconds; it sends all bytes of an answer together. */
const serviceGapMs = 250;

/** Timeouts of one send to an endpoint, in milliseconds. */
export type SendTimeouts = {
	/** Maximum time without data before the first byte of the answer. */
	readonly firstByteMs: number;
	/** Maximum time without data within the answer. */
	readonly gapMs: number;
	/** Time without data after which the endpoint is probed, which ends the send to one that is gone; undefined for no probe. */
	readonly checkMs: number | undefined;
};

/** Timeouts of a send. When the request cannot be sent again, giving up an endpoint that is alive gains nothing and only the route's timeout applies; a stream from an engine that is gone still ends early, so that its caller does not wait in vain. */
export function sendTimeouts(
	route: Route,
	expectedMs: number,
	canSendAgain: boolean,
): SendTimeouts {
	const routeTimeouts: SendTimeouts = {
		firstByteMs: route.timeoutMs,
		gapMs: route.timeoutMs,
		checkMs: route.isStream ? livenessCheckMs : undefined,
	};
	if (!canSendAgain) {
		return routeTimeouts;
	}

	switch (route.retryMode) {
		case 'once': {
			return routeTimeouts;
		}

		case 'idempotent': {
			return {
				firstByteMs: Math.max(
					expectedMs * serviceFirstByteFactor,
					route.objectiveMs,
				),
				gapMs: serviceGapMs,
				checkMs: undefined,
			};
		}

		case 'resumable': {
			return {
				firstByteMs: Math.max(
					expectedMs * streamFirstByteFactor + streamFirstByteExtraMs,
					route.objectiveMs * minStreamObjectiveFactor,
				),
				gapMs: Math.max(
					(route.gapTargetMs ?? 0) * streamGapFactor,
					minStreamGapMs,
				),
				checkMs: livenessCheckMs,
			};
		}
	}
}
