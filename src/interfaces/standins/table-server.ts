import {z} from 'zod';
import type {Table} from '../ports/index.js';
import {sendJson, StandInServer} from './http-server.js';

const readSchema = z.object({key: z.string()});
const scanSchema = z.object({
	prefix: z.string(),
	after: z.string(),
	limit: z.int(),
});
const commitSchema = z.object({
	checks: z.array(z.object({key: z.string(), revision: z.int()})),
	writes: z.array(z.object({key: z.string(), value: z.string().nullable()})),
});

/** Faults that a test or the demo switches on. */
export type TableFault =
	| 'none'
	/** Answers every call with status 503. */
	| 'down'
	/** Carries out commits, but closes the connection instead of answering them. */
	| 'lose_commit_answers';

/** Table stand-in over HTTP. */
export class TableServer extends StandInServer {
	fault: TableFault = 'none';

	constructor(table: Table) {
		super(async (request, body, response) => {
			if (this.fault === 'down') {
				sendJson(response, 503, {error: 'unavailable'});
				return;
			}

			const input: unknown = JSON.parse(body);
			switch (request.url ?? '/') {
				case '/read': {
					const row = await table.read(readSchema.parse(input).key);
					sendJson(response, 200, {row: row ?? null});
					break;
				}

				case '/scan': {
					const {prefix, after, limit} = scanSchema.parse(input);
					const rows = await table.scan(prefix, after, limit);
					sendJson(response, 200, {rows});
					break;
				}

				case '/commit': {
					const decision = await table.commit(commitSchema.parse(input));
					if (this.fault === 'lose_commit_answers') {
						response.destroy();
					} else {
						sendJson(response, 200, decision);
					}

					break;
				}

				default: {
					sendJson(response, 404, {error: 'not found'});
				}
			}
		});
	}
}
