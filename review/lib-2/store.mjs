// The platform's names of fields.
/* eslint-disable camelcase */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {closeServer, listen} from './loopback.mjs';

/** Time that the platform's store takes for an answer, in milliseconds. */
const answerMs = 4;

/** Rows that one answer holds at most. */
const pageRows = 500;

/** Interval at which a waiting feed call looks for changes, in milliseconds. */
const pollMs = 5;

const delay = async (ms) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

/** Stand-in for the platform's store: rows with versions, pages, feeds and transactions. */
export class Store {
	/** Called after a page of a table was put together and before it is sent. */
	onPage = () => undefined;
	#rows = new Map();
	#version = 0;
	#server = createServer((request, response) => {
		this.#handle(request, response);
	});
	#isClosed = false;

	async listen() {
		this.address = await listen(this.#server);
		return this.address;
	}

	/** Writes a row, or deletes it when the value is undefined. */
	put(table, key, value) {
		this.#version++;
		this.#rows.set(`${table}/${key}`, {
			table,
			key,
			value,
			ver: this.#version,
		});
		return this.#version;
	}

	close() {
		this.#isClosed = true;
		closeServer(this.#server);
	}

	#changed(table, after) {
		return [...this.#rows.values()]
			.filter((row) => row.table === table && row.ver > after)
			.toSorted((a, b) => a.ver - b.ver)
			.map((row) => wire(row));
	}

	#page(query) {
		const from = query.get('from') ?? '';
		const to = query.get('target');
		const limit = Math.min(pageRows, Number(query.get('limit') ?? pageRows));
		const live = [...this.#rows.values()]
			.filter(
				({table, key, value}) =>
					table === query.get('table') &&
					value !== undefined &&
					key >= from &&
					(to === null || key < to),
			)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
		return {
			rows: live.slice(0, limit).map((row) => wire(row)),
			truncated: live.length > limit,
			ver: this.#version,
			now_ms: Math.round(performance.now()),
		};
	}

	async #feed(query) {
		const table = query.get('table');
		const after = Number(query.get('after'));
		const until = performance.now() + Number(query.get('wait_ms') ?? 0);
		let rows = this.#changed(table, after);
		while (rows.length === 0 && performance.now() < until && !this.#isClosed) {
			await delay(pollMs);
			rows = this.#changed(table, after);
		}

		return {rows, ver: this.#version, now_ms: Math.round(performance.now())};
	}

	#transact({expected_rev: expected, set_keys: sets, delete: deletions}) {
		const found = ({table, key}) => this.#rows.get(`${table}/${key}`);
		const holds = expected.every((row) => {
			const current = found(row);
			return row.ver === (current?.value === undefined ? 0 : current.ver);
		});
		if (!holds) {
			const rows = expected
				.map((row) => found(row))
				.filter(Boolean)
				.map((row) => wire(row));
			return {status: 412, body: {rows}};
		}

		for (const {table, key, value} of sets) {
			this.put(table, key, Buffer.from(value, 'base64').toString());
		}

		for (const {table, key} of deletions) {
			this.put(table, key, undefined);
		}

		return {status: 200, body: {ver: this.#version}};
	}

	async #handle(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const url = new URL(request.url, 'http://store');
		let status = 200;
		let body;
		await delay(answerMs);
		switch (url.pathname) {
			case '/api/rows-get': {
				body = this.#page(url.searchParams);
				this.onPage(url.searchParams, body);
				break;
			}

			case '/api/rows-feed': {
				body = await this.#feed(url.searchParams);
				break;
			}

			case '/api/rows-tx': {
				({status, body} = this.#transact(
					JSON.parse(Buffer.concat(chunks).toString()),
				));
				break;
			}

			default: {
				status = 404;
				body = {};
			}
		}

		const text = JSON.stringify(body);
		response.writeHead(status, {
			'Content-Type': 'application/json',
			'Content-Length': Buffer.byteLength(text),
			'Store-Era': '1',
		});
		response.end(text);
	}
}

function wire({table, key, value, ver}) {
	return value === undefined
		? {table, part: '', key, ver, tombstone: true}
		: {
				table,
				part: '',
				key,
				ver,
				value: Buffer.from(value).toString('base64'),
			};
}
