// The platform's names of fields.
/* eslint-disable camelcase */
import {Agent, request as httpRequest} from 'node:http';

export const host = 'ficu95.example';
export const key = 'n2ctnfzs989anu6wsjnb';

/** Paths of a route whose requests run at most once, and of one whose requests may be repeated. */
export const unsafePath = '/puxa403/';
export const safePath = '/lohu930/';

/** Time after which the operator wants a request answered, in milliseconds. */
export const timeoutMs = 1000;

/** Configuration like that of a small deployment, as the operator writes it. */
export function configuration(version, backend) {
	const route = (name, pathPrefix, type, attempts) => ({
		name,
		hostname: host,
		path_prefix: pathPrefix,
		type,
		timeout_ms: timeoutMs,
		slo_ms: 121,
		priority: 2,
		backend,
		attempts,
		public: false,
		sticky: false,
		resumable: false,
	});
	return JSON.stringify({
		version,
		routes: [
			route('r-2yhvz3p', unsafePath, 'unsafe', 1),
			route('r-fi6y7z5', safePath, 'safe', 2),
		],
		backends: [
			{
				name: backend,
				health_path: '/healthz',
				max_conns: 110,
				protocol: 'h1',
				tls: false,
			},
		],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 4_194_304,
			header_timeout_ms: 3000,
			idle_timeout_ms: 15_000,
		},
		tenants: [{name: 'hule930', api_keys: [key], priority: 1}],
	});
}

let calls = 0;

/** Sends one ordinary request; resolves with its outcome, never rejects. Without an agent it opens a connection of its own. */
export async function call(
	port,
	{isSafe = false, deadlineMs = 1000, agent = false, headers = {}} = {},
) {
	calls++;
	const id = calls.toString(16).padStart(16, '0');
	const sentAt = performance.now();
	return new Promise((resolve) => {
		const request = httpRequest({
			port,
			host: '127.0.0.1',
			method: isSafe ? 'GET' : 'POST',
			path: `${isSafe ? safePath : unsafePath}2f`,
			agent,
			headers: {
				Host: host,
				'X-Cicadaswitch-Request-Id': id,
				'X-Cicadaswitch-Key': key,
				'X-Cicadaswitch-Deadline-Ms': String(deadlineMs),
				'Content-Length': '0',
				...headers,
			},
		});
		let isEnded = false;
		const end = (outcome) => {
			if (!isEnded) {
				isEnded = true;
				clearTimeout(timer);
				resolve({id, sentAt, ms: performance.now() - sentAt, outcome});
			}
		};

		const timer = setTimeout(() => {
			end('no answer');
			request.destroy();
		}, deadlineMs);
		request.on('response', (response) => {
			response.resume();
			response.on('end', () => {
				end(response.complete ? String(response.statusCode) : 'cut');
			});
			response.on('error', () => {
				end('cut');
			});
		});
		request.on('error', (error) => {
			end(error.code ?? 'closed');
		});
		request.end();
	});
}

/** Sends ordinary requests, each on a new connection, at a steady rate for a time; resolves with their outcomes. */
export async function callSteadily(
	port,
	{everyMs, forMs, deadlineMs, isSafe = (number) => number % 2 === 0},
) {
	const outcomes = [];
	const startedAt = performance.now();
	for (let number = 0; number * everyMs < forMs; number++) {
		const waitMs = startedAt + number * everyMs - performance.now();
		if (waitMs > 0) {
			await new Promise((resolve) => {
				setTimeout(resolve, waitMs);
			});
		}

		outcomes.push(call(port, {isSafe: isSafe(number), deadlineMs}));
	}

	return Promise.all(outcomes);
}

/** Sends ordinary requests on one kept connection, one after the other, until it is over; resolves with their outcomes. */
export async function callOnKeptConnection(port, isOver) {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const outcomes = [];
	while (!isOver()) {
		outcomes.push(await call(port, {agent}));
	}

	agent.destroy();
	return outcomes;
}

/** Number of outcomes of each kind, as text. */
export function countOutcomes(outcomes) {
	const counts = new Map();
	for (const {outcome} of outcomes) {
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
	}

	return [...counts].map(([name, count]) => `${name}: ${count}`).join(', ');
}
