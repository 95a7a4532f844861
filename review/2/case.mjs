/* eslint camelcase: ["error", {"properties": "never"}] -- Settings and messages use snake_case. */
import {connect} from 'node:net';
import {delay, runCase} from '../lib/deployment.mjs';
import {Server} from '../lib/server.mjs';

const host = 'letters.example';
const key = 'n2ctnfzs989anu6wsjnb';

/** Events of each stream, and the time between two, in milliseconds. */
const events = 40;
const gapMs = 100;

const streams = 12;

/** Time after the first requests at which a gateway is killed, in milliseconds. */
const killAfterMs = 2000;

const configuration = {
	version: 3,
	routes: [
		{
			name: 'reminder-letter',
			hostname: host,
			path_prefix: '/letters/',
			type: 'stream',
			timeout_ms: 12_000,
			slo_ms: 1500,
			gap_target_ms: 600,
			priority: 1,
			backend: 'kettle-llm',
			attempts: 2,
			resumable: true,
		},
	],
	backends: [{name: 'kettle-llm', max_conns: 370}],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_timeout_ms: 3000,
		idle_timeout_ms: 15_000,
	},
	tenants: [{name: 'hule930', api_keys: [key]}],
};

/** Sends a stream with neither a length nor chunks, which ends with its connection. */
async function writeLetter({response, headers}) {
	response.useChunkedEncodingByDefault = false;
	response.shouldKeepAlive = false;
	response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
	for (let id = 1; id <= events && !response.destroyed; id++) {
		response.write(`id: ${id}\ndata: line ${id} of ${events}\n\n`);
		await delay(gapMs);
	}

	response.end();
}

/** Requests one stream on a connection of its own. Resolves to what the caller sees. */
async function call({ip, callerPort}, requestId) {
	return new Promise((resolve) => {
		const socket = connect({host: ip, port: callerPort});
		let text = '';
		let end = 'closed';
		socket.setEncoding('latin1');
		socket.write(
			[
				'POST /letters/new HTTP/1.1',
				`Host: ${host}`,
				`X-Cicadaswitch-Request-Id: ${requestId}`,
				`X-Cicadaswitch-Key: ${key}`,
				'X-Cicadaswitch-Deadline-Ms: 12000',
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
			const [head, ...rest] = text.split('\r\n\r\n');
			resolve(describe(head, rest.join('\r\n\r\n'), end));
		});
	});
}

/** Reads an answer as its framing requires. */
function describe(head, body, end) {
	const isChunked = /^transfer-encoding: *chunked/imv.test(head);
	const hasLength = /^content-length:/imv.test(head);
	const isWhole = isChunked
		? body.endsWith('0\r\n\r\n')
		: !hasLength && end === 'orderly end';
	return {
		status: Number(head.split(' ')[1] ?? 0),
		isSigned: /^x-cicadaswitch-server-stamp:/imv.test(head),
		framing: isChunked ? 'chunks' : hasLength ? 'length' : 'close',
		end,
		events: [...body.matchAll(/^id: \d+\ndata: [^\n]*\n\n/gmv)].length,
		endsBetweenEvents: isChunked || body.endsWith('\n\n'),
		isWhole,
	};
}

await runCase(
	new URL('record.txt', import.meta.url),
	async (deployment, hasTrouble) => {
		const {store} = deployment;
		store.put('op', 'config', configuration);
		const servers = ['i-7f3a91c2', 'i-20be41d7'].map(
			(id) => new Server({id, service: 'kettle-llm', store, run: writeLetter}),
		);
		for (const [index, server] of servers.entries()) {
			await server.listen(deployment.host(100 + index));
		}

		const gateways = [
			await deployment.startGateway('edge-bole-1', 1),
			await deployment.startGateway('edge-bole-2', 2),
		];
		await delay(1500);
		const answers = Array.from({length: streams}, async (_, index) => {
			const gateway = gateways[index % gateways.length];
			const requestId = `9c41d07be2a35f${10 + index}`;
			deployment.note(`request ${requestId} is sent to ${gateway.name}`);
			const answer = await call(gateway, requestId);
			deployment.note(
				`request ${requestId} at ${gateway.name}: ${JSON.stringify(answer)}`,
			);
			return answer;
		});
		await delay(killAfterMs);
		if (hasTrouble) {
			deployment.signal('edge-bole-1', 'SIGKILL');
		}

		const seenAnswers = await Promise.all(answers);
		const broken = seenAnswers.filter(
			({status, isSigned, isWhole, endsBetweenEvents, events: seen}) =>
				status === 200 &&
				isSigned &&
				isWhole &&
				endsBetweenEvents &&
				seen < events,
		);
		for (const {id, runs} of servers) {
			const ids = runs.map(({requestId}) => requestId).join(' ');
			deployment.note(`server ${id} has run ${ids}`);
		}

		deployment.note(
			`${broken.length} of ${streams} streams look complete and lack events`,
		);
		for (const server of servers) {
			server.end();
		}

		return broken.length === 0;
	},
);
