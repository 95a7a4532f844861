import {once} from 'node:events';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {Fleet, type FleetOptions} from './fleet.js';
import {until} from './loopback.js';

const tokens = 80;
const whole = Array.from({length: tokens}, (_, index) => `word${index + 1} `);

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

/** Starts a long stream; `text` resolves to its body. */
async function startStream(fleet: Fleet, maxTokens = tokens) {
	const answer = await request(
		`http://${fleet.entries[0]!.address}/v1/chat/completions`,
		{
			method: 'POST',
			headers: {
				'content-type': 'application/json',
				authorization: 'Bearer sk-demo-reminders',
				'x-cicadaswitch-class': 'letter',
			},
			body: JSON.stringify({
				model: 'kettle-llm',
				stream: true,
				max_tokens: maxTokens,
				messages: [{role: 'user', content: 'hello'}],
			}),
		},
	);
	expect(answer.statusCode).toEqual(200);
	const text = answer.body.text();
	// A failure shows where the text is awaited.
	text.catch(() => undefined);
	await until('the stream runs', () => runningAt(fleet) !== undefined);
	return {text, endpoint: runningAt(fleet)!};
}

/** Endpoint whose engine has an answer in progress. */
function runningAt(fleet: Fleet): string | undefined {
	return [...fleet.engines].find(([, engine]) => engine.running > 0)?.[0];
}

function expectWhole(text: string): void {
	expect([...(text.match(/word\d+ /gv) ?? [])]).toEqual(whole);
	expect(text.endsWith('event: completed\ndata: [DONE]\n\n')).toEqual(true);
}

// Guards against answers that are cut, repeated or mixed when a sidecar dies.
test('an answer continues whole after kill -9 of its sidecar', async (t) => {
	const fleet = await startFleet(t);
	const {text, endpoint} = await startStream(fleet);
	fleet.sidecars.get(endpoint)!.child.kill('SIGKILL');
	expectWhole(await text);
});

// Guards against answers that end early when an engine dies.
test('an answer continues whole after a crash of its engine', async (t) => {
	const fleet = await startFleet(t);
	const {text, endpoint} = await startStream(fleet);
	fleet.engines.get(endpoint)!.dispose();
	expectWhole(await text);
});

// Guards against a paused sidecar that stalls its answers, or adds to them when it resumes.
test('an answer continues whole while its sidecar is paused', async (t) => {
	const fleet = await startFleet(t);
	const {text, endpoint} = await startStream(fleet);
	const {child} = fleet.sidecars.get(endpoint)!;
	child.kill('SIGSTOP');
	expectWhole(await text);
	child.kill('SIGCONT');
	await until('the paused run ends', () => runningAt(fleet) === undefined);
	const again = await startStream(fleet);
	expectWhole(await again.text);
});

// Guards against links that go silent without closing and so hang their answers for ever.
test('an answer continues whole when its link falls silent', async (t) => {
	const fleet = await startFleet(t, {engines: 1, forwarders: true});
	const {text, endpoint} = await startStream(fleet);
	// The link of the request, and one for gossip when it is open.
	expect(fleet.forwarders.get(endpoint)!.silence()).toBeGreaterThan(0);
	expectWhole(await text);
	const dump = JSON.stringify(await fleet.dump(fleet.entries[0]!));
	expect(dump.includes('"links_closed":')).toEqual(true);
	expect(fleet.engines.get(endpoint)!.executed.length).toEqual(1);
});

// Guards against engines that go on computing for callers of a dead entry.
test('kill -9 of an entry frees its engines', async (t) => {
	const fleet = await startFleet(t);
	const {text} = await startStream(fleet, 1_000_000);
	fleet.entries[0]!.child.kill('SIGKILL');
	await expect(text).toBeRejected();
	await until('the engine is free', () => runningAt(fleet) === undefined);
});

// Guards against a planned stop of an entry that cuts answers or goes on accepting work.
test('SIGTERM of an entry cuts nothing and takes nothing new', async (t) => {
	const fleet = await startFleet(t);
	const {child, address} = fleet.entries[0]!;
	const {text} = await startStream(fleet);
	child.kill('SIGTERM');
	await until('new connections are refused', async () => {
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
	const [body, [status]] = await Promise.all([text, exit]);
	expectWhole(body);
	expect(status).toEqual(0);
});

// Guards against a planned stop of a sidecar that cuts answers or goes on accepting work.
test('SIGTERM of a sidecar cuts nothing and takes nothing new', async (t) => {
	const fleet = await startFleet(t);
	const {text, endpoint} = await startStream(fleet);
	const {child, admin} = fleet.sidecars.get(endpoint)!;
	const exit = once(child, 'exit') as Promise<[number]>;
	child.kill('SIGTERM');
	await until('the sidecar is leaving', async () => {
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
		expectWhole(await stream.text);
	}

	expectWhole(await text);
	const [status] = await exit;
	expect(status).toEqual(0);
	expect(engine.executed.length).toEqual(executed);
});

// Guards against an outage of the table that stops serving, and against one in which a booking could run twice.
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
	expectWhole(await stream.text);

	fleet.tableServer.fault = 'none';
	const booked = await book('two');
	expect(booked.status).toEqual(201);
	const repeated = await book('two');
	expect(
		repeated.text.includes('"number":1') || repeated.status >= 400,
	).toEqual(true);
	expect(service!.executed.length).toEqual(1);
});
