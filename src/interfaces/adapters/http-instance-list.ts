import {z} from 'zod';
import type {InstanceList, ListedInstance} from '../ports/index.js';
import {exchangeJson} from './http-json.js';

const timeoutMs = 2000;

const answerSchema = z.object({
	instances: z.array(
		z.object({
			id: z.string(),
			address: z.string(),
			state: z.enum(['live', 'leaving']),
		}),
	),
});

/** The platform's instance list over HTTP. */
export class HttpInstanceList implements InstanceList {
	readonly #url: string;

	constructor(url: string) {
		this.#url = url;
	}

	async list(): Promise<ListedInstance[]> {
		const answer = await exchangeJson(
			'GET',
			`${this.#url}/instances`,
			undefined,
			timeoutMs,
		);
		return answerSchema.parse(answer.body).instances;
	}
}
