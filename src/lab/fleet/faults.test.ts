import {once} from 'node:events';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {Fleet, type FleetOptions} from './fleet.js';
import {waitUntil} from './loopback.js';

const tokenCount = 80;
const allWords = Array.from(
	{length: tokenCount},
	(_, index) => `word${index + 1} `,
);

const letterHeaders = {
	'content-type': 'application/json',
	authorization: 'Bearer sk-demo-reminders',
	'x-cicadaswitch-class': 'letter',
};
const call = {
	model: 'kettle-llm',
	messages: [{role: 'user', content: 'hello'}],
};

async function startFleet(
	t: TestContext,
	options: Partial<FleetOptions> = {},
): Promise<Fleet> {
	const fleet = new Fleet({
		deployment: 'gebeya',
		entries: 1,
		engines: 2,
		services: 0,
		engine: {firstTokenMs: 20, gapMs: 20, batchCost: 0.02, defaultTokens: 24},
		...options,
	});
	t.after(async () => fleet.dispose());
	await fleet.start();
	return fleet;
}

/** Starts a long stream and waits until an engine runs it; `text` resolves to its body. */
async function startStream(fleet: Fleet, maxTokens = tokenCount) {
	const answer = await request(
		`http://${fleet.entries[0]!.address}/v1/chat/completions`,
		{
			method: 'POST',
			headers: letterHeaders,
			body: JSON.stringify({...call, stream: true, max_tokens: maxTokens}),
		},
	);
	expect(answer.statusCode).toEqual(200);
	const text = answer.body.text();
	// Prevents an unhandled rejection; the test sees a failure where it awaits the text.
	text.catch(() => undefined);
	await waitUntil('the stream runs', () => busyEndpoint(fleet) !== undefined);
	return {text, endpoint: busyEndpoint(fleet)!};
}

/** Name of the first endpoint whose engine has an answer in progress. */
function busyEndpoint(fleet: Fleet): string | undefined {
	return [...fleet.engines].find(([, engine]) => engine.running > 0)?.[0];
}

function runningAnswers(fleet: Fleet): number {
	return [...fleet.engines.values()].reduce(
		(sum, {running}) => sum + running,
		0,
	);
}

function expectComplete(text: string): void {
	expect([...(text.match(/word\d+ /gv) ?? [])]).toEqual(allWords);
	expect(text.endsWith('event: completed\ndata: [DONE]\n\n')).toEqual(true);
}

// Guards against answers that are truncated, duplicated or interleaved when a sidecar dies.
test('an answer is complete after kill -9 of its sidecar', async (t) => {
	const fleet = await startFleet(t);
	const {text, endpoint} = await startStream(fleet);
	fleet.sidecars.get(endpoint)!.child.kill('SIGKILL');
	expectComplete(await text);
});

// Guards against answers that end early when an engine dies.
test('an answer is complete after a crash of its engine', async (t) => {
	const fleet = await startFleet(t);
	const {text, endpoint} = await startStream(fleet);
	fleet.engines.get(endpoint)!.dispose();
	expectComplete(await text);
});

// Guards against a paused sidecar that stalls its answers, or sends duplicate tokens when it resumes.
test('an answer is complete while its sidecar is paused', async (t) => {
	const fleet = await startFleet(t);
	const {text, endpoint} = await startStream(fleet);
	const {child} = fleet.sidecars.get(endpoint)!;
	child.kill('SIGSTOP');
	expectComplete(await text);
	child.kill('SIGCONT');
	await waitUntil(
		'the paused run ends',
		() => busyEndpoint(fleet) === undefined,
	);
	const again = await startStream(fleet);
	expectComplete(await again.text);
});

// Guards against answers that hang for ever because their link stops delivering data without closing.
test('an answer is complete when its link stops delivering data', async (t) => {
	const fleet = await startFleet(t, {engines: 1, forwarders: true});
	const {text, endpoint} = await startStream(fleet);
	// Stops the link of the request and, if it is open, one for gossip.
	expect(fleet.forwarders.get(endpoint)!.silence()).toBeGreaterThan(0);
	expectComplete(await text);
	const dump = JSON.stringify(await fleet.dump(fleet.entries[0]!));
	expect(dump.includes('"links_closed":')).toEqual(true);
	expect(fleet.engines.get(endpoint)!.executed.length).toEqual(1);
});

// Guards against engines that go on generating for callers of a dead entry.
test('kill -9 of an entry frees its engines', async (t) => {
	const fleet = await startFleet(t);
	const {text} = await startStream(fleet, 1_000_000);
	fleet.entries[0]!.child.kill('SIGKILL');
	await expect(text).toBeRejected();
	await waitUntil(
		'the engine is free',
		() => busyEndpoint(fleet) === undefined,
	);
});

// Guards against a planned stop of an entry that truncates answers or accepts new requests.
test('an entry drains on SIGTERM: it completes its answers and accepts no new requests', async (t) => {
	const fleet = await startFleet(t);
	const {child, address} = fleet.entries[0]!;
	const {text} = await startStream(fleet);
	const plain = request(`http://${address}/v1/chat/completions`, {
		method: 'POST',
		headers: letterHeaders,
		body: JSON.stringify({...call, max_tokens: tokenCount}),
	});
	await waitUntil('both run', () => runningAnswers(fleet) === 2);
	child.kill('SIGTERM');
	await waitUntil('new connections are refused', async () => {
		try {
			const answer = await request(`http://${address}/healthz`, {reset: true});
			await answer.body.dump();
			return false;
		} catch {
			return true;
		}
	});
	expect(child.exitCode).toEqual(null);
	const exit = once(child, 'exit') as Promise<[number]>;
	const [body, plainAnswer, [status]] = await Promise.all([text, plain, exit]);
	expectComplete(body);
	expect(plainAnswer.headers.connection).toEqual('close');
	expect(plainAnswer.headers['x-cicadaswitch-outcome']).toEqual('completed');
	expect(status).toEqual(0);
});

// Guards against a planned stop of a sidecar that truncates answers or accepts new requests.
test('a sidecar drains on SIGTERM: it completes its answers and accepts no new requests', async (t) => {
	const fleet = await startFleet(t);
	const {text, endpoint} = await startStream(fleet);
	const {child, admin} = fleet.sidecars.get(endpoint)!;
	const exit = once(child, 'exit') as Promise<[number]>;
	child.kill('SIGTERM');
	await waitUntil('the sidecar is leaving', async () => {
		const answer = await request(`http://${admin}/readyz`);
		await answer.body.dump();
		return answer.statusCode === 503;
	});
	const engine = fleet.engines.get(endpoint)!;
	const executed = engine.executed.length;
	const more = await Promise.all(
		Array.from({length: 4}, async () => startStream(fleet)),
	);
	for (const stream of more) {
		expectComplete(await stream.text);
	}

	expectComplete(await text);
	const [status] = await exit;
	expect(status).toEqual(0);
	expect(engine.executed.length).toEqual(executed);
});

// Guards against an outage of the table that fails calls which do not need it, and against one in which a booking could run twice.
test('a table outage stops only calls that must not be repeated', async (t) => {
	const fleet = await startFleet(t, {services: 1});
	const [service] = fleet.services.values();
	const book = async (key: string) => {
		const answer = await request(
			`http://${fleet.entries[0]!.address}/services/booking-app/bookings`,
			{
				method: 'POST',
				headers: {
					authorization: 'Bearer sk-demo-technicians',
					'idempotency-key': key,
				},
				body: '{"day":"monday"}',
			},
		);
		return {
			status: answer.statusCode,
			outcome: answer.headers['x-cicadaswitch-outcome'],
			text: await answer.body.text(),
		};
	};

	fleet.tableServer.fault = 'down';
	const stream = await startStream(fleet);
	const refused = await book('one');
	expect([refused.status, refused.outcome]).toEqual([503, 'not_run']);
	expect(service!.executed.length).toEqual(0);
	expectComplete(await stream.text);

	fleet.tableServer.fault = 'none';
	const booked = await book('two');
	expect(booked.status).toEqual(201);
	const repeated = await book('two');
	expect(
		repeated.text.includes('"number":1') || repeated.status >= 400,
	).toEqual(true);
	expect(service!.executed.length).toEqual(1);
});
