/* eslint camelcase: ["error", {"properties": "never"}] -- Settings and messages use snake_case. */
import {connect} from 'node:net';
import {delay, runCase} from '../lib/deployment.mjs';
import {Server} from '../lib/server.mjs';

const host = 'bookings.example';
const key = 'n2ctnfzs989anu6wsjnb';

/** Requests in all, and the time between two, in milliseconds. */
const requests = 3000;
const intervalMs = 10;

/** Length of a whole body, in bytes. */
const bodyLength = 800;

/** Time for which a server works on a request, in milliseconds. */
const workMs = 20;

/** Servers; every other one is faulty, a share of 0.6. */
const serverCount = 5;

/** A faulty server breaks off one in so many of its answers: 4 in 100. */
const brokenEvery = 25;

function route(name, type, prefix) {
	return {
		name,
		hostname: host,
		path_prefix: prefix,
		type,
		timeout_ms: 1000,
		slo_ms: 100,
		priority: 2,
		backend: 'booking-app',
		attempts: 2,
	};
}

const configuration = {
	version: 3,
	routes: [
		route('visit-booking', 'unsafe', '/visits/'),
		route('schedule-lookup', 'safe', '/schedule/'),
	],
	backends: [{name: 'booking-app', max_conns: 110}],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_timeout_ms: 3000,
		idle_timeout_ms: 15_000,
	},
	tenants: [{name: 'hule930', api_keys: [key]}],
};

function bodyOf(requestId) {
	return `${requestId} `.repeat(bodyLength).slice(0, bodyLength);
}

/** Answers with neither a length nor chunks: the answer ends with its connection. A broken one is half of the body and a reset. */
async function writeAnswer({requestId, response, headers}, isBroken) {
	await delay(workMs);
	response.useChunkedEncodingByDefault = false;
	response.shouldKeepAlive = false;
	response.writeHead(200, {...headers, 'Content-Type': 'text/plain'});
	const body = bodyOf(requestId);
	if (isBroken) {
		response.write(body.slice(0, bodyLength / 2));
		setImmediate(() => {
			response.socket?.resetAndDestroy();
		});
		return;
	}

	response.end(body);
}

/** Sends a request on a connection of its own. Resolves to what the caller sees. */
async function call({ip, callerPort}, requestId, path) {
	return new Promise((resolve) => {
		const socket = connect({host: ip, port: callerPort});
		let text = '';
		let end = 'closed';
		socket.setEncoding('latin1');
		socket.write(
			[
				`POST ${path} HTTP/1.1`,
				`Host: ${host}`,
				`X-Cicadaswitch-Request-Id: ${requestId}`,
				`X-Cicadaswitch-Key: ${key}`,
				'X-Cicadaswitch-Deadline-Ms: 1000',
				'Connection: close',
				'Content-Length: 2',
				'',
				'{}',
			].join('\r\n'),
		);
		socket.on('data', (data) => {
			text += data;
		});
		socket.on('end', () => {
			end = 'orderly end';
		});
		socket.on('error', () => {
			end = 'reset';
		});
		socket.on('close', () => {
			resolve(describe(text, end));
		});
	});
}

/** Reads an answer as its framing requires. */
function describe(text, end) {
	const [head, body = ''] = text.split('\r\n\r\n', 2);
	const length = /^content-length: *(?<bytes>\d+)/imv.exec(head);
	const isChunked = /^transfer-encoding: *chunked/imv.test(head);
	return {
		status: Number(head.split(' ')[1] ?? 0),
		isSigned: /^x-cicadaswitch-server-stamp:/imv.test(head),
		end,
		isComplete: isChunked
			? body.endsWith('0\r\n\r\n')
			: length
				? body.length >= Number(length.groups.bytes)
				: end === 'orderly end',
		body,
	};
}

await runCase(
	new URL('record.txt', import.meta.url),
	async (deployment, hasTrouble) => {
		const {store} = deployment;
		store.put('op', 'config', configuration);
		const broken = new Set();
		const servers = Array.from({length: serverCount}, (_, index) => {
			const isFaulty = hasTrouble && index % 2 === 0;
			let answers = 0;
			return new Server({
				id: `i-7f3a91c${index}`,
				service: 'booking-app',
				store,
				capacity: 6,
				run(arrival) {
					answers++;
					const isBroken = isFaulty && answers % brokenEvery === 0;
					if (isBroken) {
						broken.add(arrival.requestId);
					}

					writeAnswer(arrival, isBroken);
				},
			});
		});
		for (const [index, server] of servers.entries()) {
			await server.listen(deployment.host(100 + index));
		}

		const gateways = [
			await deployment.startGateway('edge-bole-1', 1),
			await deployment.startGateway('edge-bole-2', 2),
		];
		await delay(2000);
		const calls = [];
		for (let index = 0; index < requests; index++) {
			const gateway = gateways[index % gateways.length];
			const requestId = `9c41d07b${String(index).padStart(8, '0')}`;
			const path = index % 4 < 2 ? '/visits/new' : '/schedule/today';
			calls.push(
				call(gateway, requestId, path).then((answer) => {
					const {status, isSigned, isComplete, end, body} = answer;
					const isWhole = body === bodyOf(requestId);
					deployment.note(
						`request ${requestId} ${path} at ${gateway.name}: ${status}, ${body.length} bytes, ${end}${broken.has(requestId) ? '; the server has reset its answer in the middle' : ''}`,
					);
					return status === 200 && isSigned && isComplete && !isWhole;
				}),
			);
			await delay(intervalMs);
		}

		const verdicts = await Promise.all(calls);
		const partial = verdicts.filter(Boolean).length;
		for (const {id, runs} of servers) {
			deployment.note(`server ${id} has run ${runs.length} requests`);
		}

		deployment.note(`servers have broken off ${broken.size} answers`);
		deployment.note(
			`${partial} of ${requests} callers got a part of the body as a complete 200`,
		);
		for (const server of servers) {
			server.end();
		}

		return partial === 0;
	},
);
