import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import OpenAI, {APIError, AuthenticationError, NotFoundError} from 'openai';
import type {ChatCompletionChunk} from 'openai/resources';
import {Fleet, type FleetOptions} from './fleet.js';
import {waitUntil} from './loopback.js';

const call = {
	model: 'kettle-llm',
	max_completion_tokens: 5,
	messages: [{role: 'user' as const, content: 'hello'}],
};
const expectedText = 'word1 word2 word3 word4 word5 ';

async function startFleet(
	t: TestContext,
	options: Partial<FleetOptions> = {},
): Promise<{fleet: Fleet; client: OpenAI}> {
	const fleet = new Fleet({
		deployment: 'gebeya',
		entries: 1,
		engines: 1,
		services: 0,
		...options,
	});
	t.after(async () => fleet.dispose());
	await fleet.start();
	const client = new OpenAI({
		baseURL: `http://${fleet.entries[0]!.address}/v1`,
		apiKey: 'sk-demo-reminders',
	});
	return {fleet, client};
}

// Guards against answers, model lists and errors that the OpenAI client library cannot parse.
test('the openai client reads answers, streams, models and errors', async (t) => {
	const {client} = await startFleet(t);
	const plain = await client.chat.completions.create(call);
	expect(plain.choices[0]!.message.content).toEqual(expectedText);
	expect(plain.choices[0]!.finish_reason).toEqual('stop');

	let text = '';
	const stream = await client.chat.completions.create({...call, stream: true});
	for await (const chunk of stream) {
		text += chunk.choices[0]!.delta.content;
	}

	expect(text).toEqual(expectedText);
	const models = await client.models.list();
	expect(models.data.map(({id}) => id)).toEqual(['kettle-llm']);

	const wrongKey = client.withOptions({apiKey: 'sk-wrong'});
	await expect(wrongKey.models.list()).toBeRejectedWith(AuthenticationError);
	const unknown = client.chat.completions.create({...call, model: 'none'});
	await expect(unknown).toBeRejectedWith(NotFoundError);
	const invalid: unknown = await client.chat.completions
		.create({...call, max_completion_tokens: -1})
		.catch((error: unknown) => error);
	expect(invalid).toBeA(APIError);
	expect((invalid as APIError).code).toEqual('invalid_body');
	expect((invalid as APIError).status).toEqual(400);
});

// Guards against engines that go on generating after the caller has cancelled.
test('a cancelled stream is cancelled at the engine', async (t) => {
	const {fleet, client} = await startFleet(t);
	const stream = await client.chat.completions.create({
		...call,
		max_completion_tokens: 100_000,
		stream: true,
	});
	const chunks = stream[Symbol.asyncIterator]();
	const first =
		(await chunks.next()) as IteratorYieldResult<ChatCompletionChunk>;
	expect(first.value.choices[0]!.delta.content).toEqual('word1 ');
	await chunks.return!();
	const [engine] = fleet.engines.values();
	await waitUntil('the engine has stopped', () => engine!.running === 0);
});

// Guards against retries of the client library that run a call twice, and against refusals that it does not retry.
test('the client retries only calls that have not run', async (t) => {
	const {fleet, client} = await startFleet(t, {
		settings: ['[limits]', 'requests = 1'],
	});
	const first = await client.chat.completions.create({
		...call,
		max_completion_tokens: 100,
		stream: true,
	});
	let refusals = 0;
	const counting = client.withOptions({
		maxRetries: 20,
		async fetch(url, init) {
			const answer = await fetch(url, init);
			if (answer.status === 503) {
				refusals++;
				expect(answer.headers.get('x-cicadaswitch-outcome')).toEqual('not_run');
			}

			return answer;
		},
	});
	const [second] = await Promise.all([
		counting.chat.completions.create(call),
		waitUntil('a refusal', () => refusals > 0).then(() => {
			first.controller.abort();
		}),
	]);
	expect(second.choices[0]!.message.content).toEqual(expectedText);

	const [engine] = fleet.engines.values();
	const executedBefore = engine!.executed.length;
	const lost = client.chat.completions.create(
		{...call, max_completion_tokens: 100_000},
		{
			headers: {
				'x-cicadaswitch-idempotent': 'false',
				'idempotency-key': 'letter-1',
			},
		},
	);
	const rejected = expect(lost).toBeRejectedWith(APIError);
	await waitUntil('the call runs', () => engine!.running === 1);
	engine!.dispose();
	await rejected;
	expect(engine!.executed.length).toEqual(executedBefore + 1);
});
