import type {
	KeyHolder,
	RequestHead,
	Route,
	Service,
} from '../../interfaces/ports/index.js';
import type {DrainSchedule} from './drain-schedule.js';
import {requestTarget} from './request-target.js';
import type {RoutingTable} from './routing-table.js';

/** Age of the configuration in milliseconds up to which an unknown route or key is rejected; an older configuration may just not have it yet. */
export const maxFreshAgeMs = 2000;

/** Age of the configuration up to which keys are accepted, as a fraction of `revocationMs`. */
const maxKeyAgeFraction = 0.8;

/** Retry-After in milliseconds for callers that should retry at another gateway. */
const otherGatewayRetryAfterMs = 200;

/** Refusal of a request that must not be sent because the gateway stops. */
export const stoppingRefusal = {
	reason: 'stopping',
	retryAfterMs: otherGatewayRetryAfterMs,
} as const;

/** Retry-After in milliseconds while this gateway is still loading its configuration. */
const startupRetryAfterMs = 500;

/** State of the gateway that the admission of a request depends on. */
export type AdmissionState = {
	/** Undefined until the first configuration has been read and no other gateway is known to have a newer one. */
	readonly routing: RoutingTable | undefined;
	/** Time since the configuration was last confirmed as current, in milliseconds. */
	readonly ageMs: number;
	/** Time after which a removed key must no longer be accepted, in milliseconds. */
	readonly revocationMs: number;
	/** Undefined unless a drain is in progress. */
	readonly drain: DrainSchedule | undefined;
	/** Times on the monotonic clock, in milliseconds. */
	readonly receivedAt: number;
	readonly now: number;
};

/** Result of checking the route and API key of a request. */
export type Admission =
	| {
			readonly type: 'admitted';
			/** Path and query. */
			readonly target: string;
			readonly route: Route;
			readonly service: Service;
			readonly workspace: KeyHolder | undefined;
			/** Priority that engines are told, 0 first. */
			readonly priority: number;
			/** Rank in which it gets capacity, 0 first. */
			readonly rank: number;
			/** Whether its events need an engine without long prompts. */
			readonly hasTightGap: boolean;
	  }
	| {
			readonly type: 'rejected';
			readonly status: 400 | 401 | 404;
			readonly reason: string;
	  }
	/** This gateway cannot decide now. The request was not sent, so the caller may retry it. */
	| {
			readonly type: 'deferred';
			readonly reason: string;
			readonly retryAfterMs: number;
	  };

/**
 * Checks the host, route and API key of a request. A route or key that is missing
 * from an old configuration may exist in a newer one, so only a fresh
 * configuration rejects. Keys are accepted only while the configuration is
 * recent enough that no key can have been revoked for longer than
 * `revocationMs`.
 */
export function admit(
	hosts: readonly string[],
	target: string,
	head: RequestHead,
	{routing, ageMs, revocationMs, drain, receivedAt, now}: AdmissionState,
): Admission {
	const named = requestTarget(hosts, target);
	if (!named) {
		return {type: 'rejected', status: 400, reason: 'more than one host'};
	}

	if (!routing) {
		return deferred('no configuration yet', startupRetryAfterMs);
	}

	const route = routing.route(named.host, named.target);
	if (!route) {
		return rejectIfFresh(404, 'no such route', ageMs);
	}

	let workspace: KeyHolder | undefined;
	if (routing.requiresKeys && !route.isPublic) {
		if (ageMs > revocationMs * maxKeyAgeFraction) {
			return deferred('keys cannot be checked', otherGatewayRetryAfterMs);
		}

		workspace =
			head.key === undefined ? undefined : routing.workspace(head.key);
		if (!workspace) {
			return rejectIfFresh(401, 'unknown key', ageMs);
		}
	}

	if (drain?.admits(now, expiresAt(route, head, receivedAt)) === false) {
		return {type: 'deferred', ...stoppingRefusal};
	}

	const service = routing.target(route, head.requestId);
	return service
		? {
				type: 'admitted',
				target: named.target,
				route,
				service,
				workspace,
				priority: routing.priority(route, workspace),
				rank: routing.rank(route, workspace, service),
				hasTightGap: routing.hasTightGap(route, service),
			}
		: deferred('route without service', startupRetryAfterMs);
}

/** Time at which a request expires: its caller's deadline or the timeout of its route, whichever is earlier. */
export function expiresAt(
	{timeoutMs}: Route,
	{deadlineMs = timeoutMs}: RequestHead,
	receivedAt: number,
): number {
	return receivedAt + Math.min(timeoutMs, deadlineMs);
}

function rejectIfFresh(
	status: 401 | 404,
	reason: string,
	ageMs: number,
): Admission {
	return ageMs > maxFreshAgeMs
		? deferred('configuration may be old', otherGatewayRetryAfterMs)
		: {type: 'rejected', status, reason};
}

function deferred(reason: string, retryAfterMs: number): Admission {
	return {type: 'deferred', reason, retryAfterMs};
}
