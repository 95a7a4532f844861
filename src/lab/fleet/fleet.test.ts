import {test} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {Fleet} from './fleet.js';

const letterHeaders = {
	'content-type': 'application/json',
	authorization: 'Bearer sk-demo-reminders',
	'x-cicadaswitch-class': 'letter',
};

// Guards against a request path that works only inside one process, and against answers that are truncated or interleaved.
test('a fleet of processes answers streamed, plain and service calls', async (t) => {
	const fleet = new Fleet({
		deployment: 'gebeya',
		entries: 1,
		engines: 2,
		services: 1,
	});
	t.after(async () => fleet.dispose());
	await fleet.start();
	const origin = `http://${fleet.entries[0]!.address}`;
	const call = {
		model: 'kettle-llm',
		max_tokens: 5,
		messages: [{role: 'user', content: 'hello'}],
	};

	const plain = await request(`${origin}/v1/chat/completions`, {
		method: 'POST',
		headers: letterHeaders,
		body: JSON.stringify(call),
	});
	const body = (await plain.body.json()) as {
		choices: Array<{message: {content: string}}>;
	};
	expect(plain.statusCode).toEqual(200);
	expect(plain.headers['x-cicadaswitch-outcome']).toEqual('completed');
	expect(body.choices[0]!.message.content).toEqual(
		'word1 word2 word3 word4 word5 ',
	);

	const streamed = await request(`${origin}/v1/chat/completions`, {
		method: 'POST',
		headers: letterHeaders,
		body: JSON.stringify({...call, stream: true}),
	});
	const events = await streamed.body.text();
	expect(events.match(/word\d/gv)).toEqual([
		'word1',
		'word2',
		'word3',
		'word4',
		'word5',
	]);
	expect(events.trimEnd().endsWith('data: [DONE]')).toEqual(true);

	const service = await request(`${origin}/services/booking-app/visits?day=1`, {
		headers: {authorization: 'Bearer sk-demo-technicians'},
	});
	expect(await service.body.json()).toEqual({
		service: 'booking-1',
		method: 'GET',
		path: '/visits?day=1',
		number: 1,
	});
});
