import {once} from 'node:events';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {Fleet, type FleetOptions} from './fleet.js';
import {waitUntil} from './loopback.js';

const tokenCount = 2000;
const headers = {
	'content-type': 'application/json',
	authorization: 'Bearer sk-demo-reminders',
	'x-cicadaswitch-class': 'letter',
	'x-cicadaswitch-resumable': 'true',
};

async function startFleet(
	t: TestContext,
	options: Partial<FleetOptions> = {},
): Promise<{fleet: Fleet; origin: string}> {
	const fleet = new Fleet({
		deployment: 'gebeya',
		entries: 1,
		engines: 1,
		services: 0,
		...options,
	});
	t.after(async () => fleet.dispose());
	await fleet.start();
	return {fleet, origin: `http://${fleet.entries[0]!.address}`};
}

async function call(origin: string, maxTokens: number) {
	return request(`${origin}/v1/chat/completions`, {
		method: 'POST',
		headers,
		body: JSON.stringify({
			model: 'kettle-llm',
			stream: true,
			max_tokens: maxTokens,
			messages: [{role: 'user', content: 'hello'}],
		}),
	});
}

// Guards against a caller that does not read its answer and so fills the entry's memory or blocks other callers.
test('a slow caller pauses only its own run and still gets its complete answer', async (t) => {
	const {fleet, origin} = await startFleet(t, {
		engine: {
			firstTokenMs: 1,
			gapMs: 1,
			batchCost: 0,
			defaultTokens: 1,
			paddingBytes: 16_384,
		},
	});
	const [sidecar] = fleet.sidecars.values();
	const slow = await call(origin, tokenCount);
	await waitUntil('the run of the slow caller is paused', async () => {
		const dump = JSON.stringify(await fleet.dump(sidecar!));
		return dump.includes('"runs_paused":');
	});

	const other = await call(origin, 5);
	const text = await other.body.text();
	expect(text.endsWith('event: completed\ndata: [DONE]\n\n')).toEqual(true);
	const whole = await slow.body.text();
	expect(whole.match(/word\d+ /gv)?.length).toEqual(tokenCount);
	expect(whole.endsWith('event: completed\ndata: [DONE]\n\n')).toEqual(true);
});

// Guards against requests that use memory or connections without limit.
test('requests beyond the limits are refused in the form of the interface', async (t) => {
	const {fleet, origin} = await startFleet(t, {
		settings: [
			'[limits]',
			'body_bytes = 2000',
			'header_bytes = 4000',
			'header_timeout_ms = 300',
		],
	});
	const refusals = await Promise.all([
		request(`${origin}/v1/chat/completions`, {
			method: 'POST',
			headers,
			body: 'x'.repeat(5000),
		}),
		request(`${origin}/v1/models`, {
			headers: {...headers, 'x-large': 'x'.repeat(5000)},
		}),
	]);
	const codes = await Promise.all(
		refusals.map(async ({statusCode, body}) => {
			const {error} = (await body.json()) as {error: {code: string}};
			return `${statusCode} ${error.code}`;
		}),
	);
	expect(codes).toEqual(['413 body_too_large', '431 headers_too_large']);

	const [host, port] = fleet.entries[0]!.address.split(':');
	const incomplete = connect(Number(port), host);
	incomplete.write('GET /v1/models HTTP/1.1\r\n');
	const [answer] = (await once(incomplete, 'data')) as [Uint8Array];
	expect(String(answer).startsWith('HTTP/1.1 408 ')).toEqual(true);
	incomplete.destroy();
});

// Guards against a workspace that can read or cancel the request of another one.
test('a request can be read and cancelled only by its own workspace', async (t) => {
	const {fleet, origin} = await startFleet(t);
	const stream = await call(origin, 100_000);
	stream.body.on('error', () => undefined);
	const url = `${origin}/v1/requests/${String(stream.headers['x-request-id'])}`;
	const [engine] = fleet.engines.values();
	await waitUntil('the request runs', () => engine!.running === 1);
	const other = {authorization: 'Bearer sk-demo-shop-staff'};
	for (const method of ['GET', 'DELETE']) {
		const answer = await request(url, {method, headers: other});
		await answer.body.dump();
		expect(answer.statusCode).toEqual(404);
	}

	expect(engine!.running).toEqual(1);
	const own = await request(url, {headers});
	const status = (await own.body.json()) as {state: string};
	expect(status.state).toEqual('running');
	const cancelled = await request(url, {method: 'DELETE', headers});
	await cancelled.body.dump();
	expect(cancelled.statusCode).toEqual(200);
	await waitUntil('the engine has stopped', () => engine!.running === 0);
	stream.body.destroy();
});
