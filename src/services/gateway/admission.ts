import type {
	KeyHolder,
	RequestHead,
	Route,
	Service,
} from '../../interfaces/ports/index.js';
import type {RoutingTable} from './routing-table.js';

/** Age of the configuration above which an unknown route or key may be a newer one, in milliseconds. */
export const freshMs = 2000;

/** Part of the revocation bound for which keys are accepted without confirmation. */
const keyAgePart = 0.8;

/** When a caller may come back to another gateway, in milliseconds. */
const elsewhereRetryAfterMs = 200;

/** When a caller may come back to a gateway that is starting, in milliseconds. */
const startRetryAfterMs = 500;

/** What a gateway knows of the configuration when a request arrives. */
export type ConfigurationView = {
	/** Undefined until one has been read. */
	readonly routing: RoutingTable | undefined;
	/** Time since it was last known to be current, in milliseconds. */
	readonly ageMs: number;
	/** Time after which a removed key must no longer be accepted, in milliseconds. */
	readonly revocationMs: number;
	/** Time until the process ends, in milliseconds, once a stop has been asked for longer ago than its neighbours need to notice. */
	readonly endsInMs: number | undefined;
};

/** Whether a request may be placed, and why not. */
export type Admission =
	| {
			readonly type: 'admitted';
			readonly route: Route;
			readonly service: Service;
			readonly workspace: KeyHolder | undefined;
	  }
	| {
			readonly type: 'rejected';
			readonly status: 401 | 404;
			readonly reason: string;
	  }
	/** This gateway cannot tell at present; the request has not run. */
	| {
			readonly type: 'deferred';
			readonly reason: string;
			readonly retryAfterMs: number;
	  };

/**
 * Checks route and key of a request. What an old configuration does not know
 * may be in a newer one, so only a young one rejects; keys are accepted only
 * while none of them can have been taken away for longer than allowed.
 */
export function admit(
	host: string,
	target: string,
	head: RequestHead,
	{routing, ageMs, revocationMs, endsInMs}: ConfigurationView,
): Admission {
	if (!routing) {
		return deferred('no configuration yet', startRetryAfterMs);
	}

	const route = routing.route(host, target);
	if (!route) {
		return unknown(404, 'no such route', ageMs);
	}

	let workspace: KeyHolder | undefined;
	if (routing.hasWorkspaces && !route.isPublic) {
		if (ageMs > revocationMs * keyAgePart) {
			return deferred('keys cannot be checked', elsewhereRetryAfterMs);
		}

		workspace =
			head.key === undefined ? undefined : routing.workspace(head.key);
		if (!workspace) {
			return unknown(401, 'unknown key', ageMs);
		}
	}

	if (endsInMs !== undefined && endsInMs < route.timeoutMs) {
		return deferred('stopping', elsewhereRetryAfterMs);
	}

	const service = routing.target(route, head.requestId);
	return service
		? {type: 'admitted', route, service, workspace}
		: deferred('route without service', startRetryAfterMs);
}

function unknown(status: 401 | 404, reason: string, ageMs: number): Admission {
	return ageMs > freshMs
		? deferred('configuration may be old', elsewhereRetryAfterMs)
		: {type: 'rejected', status, reason};
}

function deferred(reason: string, retryAfterMs: number): Admission {
	return {type: 'deferred', reason, retryAfterMs};
}
