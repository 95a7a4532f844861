/* eslint camelcase: ["error", {"properties": "never"}] -- Settings and messages use snake_case. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Rows of one answer at most. */
const pageRows = 500;

/** Interval at which a waiting feed call looks for changes, in milliseconds. */
const pollMs = 10;

const delay = async (ms) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

/** Stand-in of the platform's store: tables with versions, transactions and feeds. It never fails unless told to. */
export class Store {
	/** Sent as Store-Era in all answers. */
	era = 1;
	#rows = new Map();
	#version = 0;
	#isDown = false;
	#servers = new Map();

	/** May be called again, for a further address of the same store. */
	async listen(host, port) {
		const server = createServer((request, response) => {
			this.#handle(request, response);
		});
		this.#servers.set(`${host}:${port}`, server);
		await new Promise((resolve) => {
			server.listen(port, host, resolve);
		});
	}

	/** Stops listening at one address, or at all of them. */
	close(address) {
		for (const [known, server] of this.#servers) {
			if (address === undefined || address === known) {
				this.#servers.delete(known);
				server.close();
				server.closeAllConnections();
			}
		}
	}

	/** Writes a value as JSON, or deletes the row when the value is undefined. */
	put(table, key, value) {
		this.#write(
			table,
			key,
			value === undefined
				? undefined
				: Buffer.from(JSON.stringify(value)).toString('base64'),
		);
	}

	/** Copy of all rows, for `restore`. */
	backup() {
		return {rows: new Map(this.#rows), version: this.#version};
	}

	/** Answers 503 to all calls and ends the waiting ones, until `restore` or `up`. */
	down() {
		this.#isDown = true;
	}

	up() {
		this.#isDown = false;
	}

	/** Comes back from an older copy, in the next era. */
	restore({rows, version}) {
		this.#rows = new Map(rows);
		this.#version = version;
		this.era++;
		this.#isDown = false;
	}

	#write(table, key, value) {
		this.#version++;
		this.#rows.set(`${table}\n${key}`, {
			table,
			part: '',
			key,
			value,
			ver: this.#version,
		});
	}

	async #handle(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		const {pathname, searchParams} = new URL(request.url, 'http://store');
		if (this.#isDown) {
			this.#send(response, 503, {});
			return;
		}

		switch (`${request.method} ${pathname}`) {
			case 'GET /api/rows-get': {
				const rows = this.#list(searchParams);
				this.#send(response, 200, {
					rows: rows.slice(0, pageRows),
					truncated: rows.length > pageRows,
				});
				break;
			}

			case 'GET /api/rows-feed': {
				await this.#feed(searchParams, response);
				break;
			}

			case 'POST /api/rows-tx': {
				this.#transact(JSON.parse(Buffer.concat(chunks)), response);
				break;
			}

			default: {
				this.#send(response, 404, {});
			}
		}
	}

	#list(parameters) {
		const table = parameters.get('table');
		const from = parameters.get('from') ?? '';
		return [...this.#rows.values()]
			.filter(
				(row) =>
					row.table === table && row.value !== undefined && row.key >= from,
			)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
	}

	async #feed(parameters, response) {
		const table = parameters.get('table');
		const after = Number(parameters.get('after'));
		const endsAt = performance.now() + Number(parameters.get('wait_ms') ?? 0);
		const {era} = this;
		if (after > this.#version) {
			this.#send(response, 410, {});
			return;
		}

		const changed = () =>
			[...this.#rows.values()]
				.filter((row) => row.table === table && row.ver > after)
				.toSorted((a, b) => a.ver - b.ver)
				.map((row) =>
					row.value === undefined ? {...row, tombstone: true} : row,
				);
		let rows = changed();
		while (rows.length === 0 && performance.now() < endsAt) {
			await delay(pollMs);
			if (this.#isDown || this.era !== era) {
				response.destroy();
				return;
			}

			rows = changed();
		}

		this.#send(response, 200, {rows});
	}

	#transact({expected_rev: expected, set_keys: sets, delete: drops}, response) {
		const versionOf = ({table, key}) => {
			const row = this.#rows.get(`${table}\n${key}`);
			return row?.value === undefined ? 0 : row.ver;
		};

		if (expected.some((row) => versionOf(row) !== row.ver)) {
			this.#send(response, 412, {rows: []});
			return;
		}

		for (const {table, key, value} of sets) {
			this.#write(table, key, value);
		}

		for (const {table, key} of drops) {
			this.#write(table, key, undefined);
		}

		this.#send(response, 200, {});
	}

	#send(response, status, body) {
		const text = JSON.stringify({
			...body,
			ver: this.#version,
			now_ms: Math.round(performance.now()),
		});
		response.writeHead(status, {
			'Content-Type': 'application/json',
			'Content-Length': Buffer.byteLength(text),
			'Store-Era': String(this.era),
		});
		response.end(text);
	}
}
