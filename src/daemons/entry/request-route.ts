import type {IncomingMessage} from 'node:http';
import {
	parseEventId,
	type Catalogue,
	type EndpointView,
	type EntryMessage,
} from '../../services/index.js';
import {ApiError} from './api-error.js';
import {authenticate} from './caller-request.js';

/** Message to the entry that a call of `/v1/requests` is translated to. */
export type RequestRoute = Extract<EntryMessage, {type: 'events' | 'query'}>;

const pathPattern =
	/^\/v1\/requests\/(?<requestId>[\w.\-]+)(?<events>\/events)?$/v;

/**
 * Parses `GET /v1/requests/ID`, `DELETE /v1/requests/ID` and
 * `GET /v1/requests/ID/events` with `Last-Event-ID`; undefined for other
 * routes. `?target=NAME` names the model or service that the request was for;
 * without it the endpoints of all models are queried. Throws `ApiError` 400,
 * 401 or 404.
 */
export function parseRequestRoute(
	message: IncomingMessage,
	catalogue: Catalogue,
	id: string,
): RequestRoute | undefined {
	const url = new URL(message.url ?? '/', 'http://entry');
	const {requestId, events} = pathPattern.exec(url.pathname)?.groups ?? {};
	const method = message.method ?? 'GET';
	if (!requestId || !(method === 'GET' || (method === 'DELETE' && !events))) {
		return undefined;
	}

	const workspace = authenticate(message, catalogue).name;
	if (events) {
		return {
			type: 'events',
			id,
			workspace,
			...parseResumePoint(message, catalogue, requestId),
		};
	}

	const target = url.searchParams.get('target');
	const targets = target ? [target] : catalogue.models();
	const endpoints = new Map<string, EndpointView>();
	for (const name of targets) {
		for (const endpoint of catalogue.target(name)?.endpoints ?? []) {
			endpoints.set(endpoint.name, endpoint);
		}
	}

	return {
		type: 'query',
		id,
		workspace,
		requestId,
		cancel: method === 'DELETE',
		endpoints: [...endpoints.values()],
	};
}

function parseResumePoint(
	message: IncomingMessage,
	catalogue: Catalogue,
	requestId: string,
) {
	const header = message.headers['last-event-id'];
	const event = typeof header === 'string' ? parseEventId(header) : undefined;
	if (!event?.attempt.startsWith(`${requestId}.`)) {
		throw new ApiError(
			400,
			'invalid_event_id',
			'the Last-Event-ID header must carry an event id of this request, "ENDPOINT/ATTEMPT/SEQUENCE"',
		);
	}

	const endpoint = catalogue
		.targetsOf(event.endpoint)
		.flatMap((name) => catalogue.target(name)?.endpoints ?? [])
		.find(({name}) => name === event.endpoint);
	if (!endpoint) {
		throw new ApiError(
			404,
			'answer_not_kept',
			`the endpoint ${JSON.stringify(event.endpoint)} does not exist any more`,
		);
	}

	return {endpoint, attempt: event.attempt, after: event.sequence};
}
