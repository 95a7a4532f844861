import {z} from 'zod';
import {
	TableUnavailable,
	TableUncertain,
	type Decision,
	type Row,
	type Table,
	type Transaction,
} from '../ports/index.js';
import {exchangeJson, toError} from './http-json.js';

const timeoutMs = 2000;

const rowSchema = z.object({
	key: z.string(),
	value: z.string(),
	revision: z.int(),
});
const readAnswerSchema = z.object({row: rowSchema.nullable()});
const scanAnswerSchema = z.object({rows: z.array(rowSchema)});
const commitAnswerSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('committed'), revision: z.int()}),
	z.object({
		type: z.literal('conflict'),
		key: z.string(),
		current: rowSchema.optional(),
	}),
]);

/** The platform's table over HTTP with JSON bodies. */
export class HttpTable implements Table {
	readonly #url: string;

	constructor(url: string) {
		this.#url = url;
	}

	async read(key: string): Promise<Row | undefined> {
		const answer = readAnswerSchema.parse(await this.#query('read', {key}));
		return answer.row ?? undefined;
	}

	async scan(prefix: string, after = '', limit = 1000): Promise<Row[]> {
		const query = {prefix, after, limit};
		return scanAnswerSchema.parse(await this.#query('scan', query)).rows;
	}

	async commit(transaction: Transaction): Promise<Decision> {
		let answer;
		try {
			answer = await exchangeJson(
				'POST',
				`${this.#url}/commit`,
				transaction,
				timeoutMs,
			);
		} catch (error) {
			if (isConnectFailure(error)) {
				throw new TableUnavailable(
					toError(error),
					'could not connect to the table',
				);
			}

			throw new TableUncertain(
				toError(error),
				'no answer to a commit, which may have taken effect',
			);
		}

		if (answer.status === 503) {
			throw new TableUnavailable('table answered a commit with status 503');
		}

		const decision = commitAnswerSchema.safeParse(answer.body);
		if (answer.status !== 200 || !decision.success) {
			throw new TableUncertain(
				'unexpected answer to a commit, with status %d',
				answer.status,
			);
		}

		const {data} = decision;
		return data.type === 'committed'
			? data
			: {type: 'conflict', key: data.key, current: data.current};
	}

	async #query(operation: string, body: unknown): Promise<unknown> {
		try {
			const answer = await exchangeJson(
				'POST',
				`${this.#url}/${operation}`,
				body,
				timeoutMs,
			);
			if (answer.status === 200) {
				return answer.body;
			}

			throw new TableUnavailable(
				'table answered with status %d',
				answer.status,
			);
		} catch (error) {
			throw new TableUnavailable(
				toError(error),
				'%s request to the table failed',
				operation,
			);
		}
	}
}

function isConnectFailure(error: unknown): boolean {
	return (
		error instanceof Error &&
		'code' in error &&
		(error.code === 'ECONNREFUSED' || error.code === 'UND_ERR_CONNECT_TIMEOUT')
	);
}
