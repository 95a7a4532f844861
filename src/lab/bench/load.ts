import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createParser} from 'eventsource-parser';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {Random} from '../../base/index.js';

/** Load of one phase: each of the `streams` callers repeatedly waits for a random think time and then requests one streamed answer. */
export type Load = {
	readonly streams: number;
	/** Mean number of tokens of an answer; lengths are uniform from 0.5 to 1.5 times the mean, so that the callers do not synchronize. */
	readonly tokens: number;
	/** Mean of the exponential think time between two answers of a caller, in milliseconds; without it the callers synchronize and measure their own bursts. */
	readonly thinkMs: number;
	readonly seconds: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly model: string;
};

/** Results as measured by the callers; histograms are in microseconds. */
export type LoadResult = {
	readonly firstToken: Histogram;
	readonly gap: Histogram;
	readonly seconds: number;
	answers: number;
	tokens: number;
	failures: number;
	lastError?: string;
};

/** Sends the load to `/v1/chat/completions` at a URL; incomplete answers count as failures. */
export async function runLoad(url: string, load: Load): Promise<LoadResult> {
	const pool = new Agent({connections: load.streams});
	const startedAt = performance.now();
	const endAt = startedAt + load.seconds * 1000;
	const result = {
		firstToken: build(),
		gap: build(),
		answers: 0,
		tokens: 0,
		failures: 0,
		lastError: undefined,
	};
	await Promise.all(
		Array.from({length: load.streams}, async (_, index) => {
			const random = new Random(index);
			for (;;) {
				await sleep(random.exponential(load.thinkMs));
				if (performance.now() >= endAt) {
					return;
				}

				const tokens = Math.ceil(load.tokens * (0.5 + random.next()));
				await streamOnce(url, {...load, tokens}, pool, result);
			}
		}),
	);
	const seconds = (performance.now() - startedAt) / 1000;
	await pool.close();
	return {...result, seconds};
}

async function streamOnce(
	url: string,
	load: Load,
	dispatcher: Agent,
	result: Omit<LoadResult, 'seconds'>,
): Promise<void> {
	let lastTokenAt = performance.now();
	let receivedAt = lastTokenAt;
	let tokens = 0;
	try {
		const answer = await request(`${url}/v1/chat/completions`, {
			method: 'POST',
			headers: {'content-type': 'application/json', ...load.headers},
			body: JSON.stringify({
				model: load.model,
				stream: true,
				max_tokens: load.tokens,
				messages: [{role: 'user', content: `question ${Math.random()}`}],
			}),
			dispatcher,
		});
		const decoder = new TextDecoder();
		const parser = createParser({
			onEvent({data}) {
				if (data.startsWith('{')) {
					const histogram = tokens === 0 ? result.firstToken : result.gap;
					histogram.recordValue(
						Math.max(0, Math.round((receivedAt - lastTokenAt) * 1000)),
					);
					lastTokenAt = receivedAt;
					tokens++;
				}
			},
		});
		for await (const part of answer.body as AsyncIterable<Uint8Array>) {
			receivedAt = performance.now();
			parser.feed(decoder.decode(part, {stream: true}));
		}
	} catch (error) {
		result.lastError = String(error);
	}

	result.tokens += tokens;
	if (tokens === load.tokens) {
		result.answers++;
	} else {
		result.failures++;
	}
}
