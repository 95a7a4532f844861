/* eslint camelcase: ["error", {"properties": "never"}] -- Settings and messages use snake_case. */
import {once} from 'node:events';
import {createServer} from 'node:http';

/** Interval at which a server writes its entry, in milliseconds. */
const heartbeatMs = 1200;

/** Stand-in of a sound server: writes its entry, answers the state and health calls, and rejects requests for another instance. */
export class Server {
	id;
	service;
	/** Requests that the server has begun to run, in order. */
	runs = [];
	#store;
	#entry;
	#run;
	#server;
	#timer;
	#sequence = 0;
	#born = Date.now();

	/** `run` answers a request. */
	constructor({id, service, store, capacity = 64, run}) {
		this.id = id;
		this.service = service;
		this.#store = store;
		this.#run = run;
		this.#entry = {backend: service, zone: 'bole', version: 'v1', capacity};
	}

	async listen(host) {
		this.#server = createServer((request, response) => {
			this.#handle(request, response);
		});
		this.#server.listen(0, host);
		await once(this.#server, 'listening');
		this.#server.unref();
		this.#entry.address = `${host}:${this.#server.address().port}`;
		this.#beat();
		this.#timer = setInterval(() => {
			this.#beat();
		}, heartbeatMs).unref();
	}

	/** Ends the server. */
	end() {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#beat() {
		this.#sequence++;
		this.#store.put('servers', this.id, {
			...this.#entry,
			state: 'ready',
			warmup_left_ms: 0,
			seq: this.#sequence,
			born: this.#born,
		});
	}

	async #handle(request, response) {
		const chunks = [];
		for await (const chunk of request) {
			chunks.push(chunk);
		}

		response.sendDate = false;
		if (request.url === '/api/report') {
			const report = {kv_used: 0, kv_total: 500_000, born: this.#born};
			response.writeHead(200, {'Content-Type': 'application/json'});
			response.end(JSON.stringify({phase: 'both', models: [], ...report}));
			return;
		}

		if (request.url === '/healthz') {
			response.writeHead(200, {'X-Cicadaswitch-Instance-Id': this.id});
			response.end();
			return;
		}

		const requestId = request.headers['x-cicadaswitch-request-id'];
		const expected = request.headers['x-cicadaswitch-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			response.writeHead(421, {
				'X-Cicadaswitch-Request-Id': requestId,
				'X-Cicadaswitch-Not-Executed': '1',
			});
			response.end();
			return;
		}

		const headers = {
			'X-Cicadaswitch-Request-Id': requestId,
			'X-Cicadaswitch-Server-Stamp': `${this.id}.${requestId}`,
		};
		this.runs.push({requestId, at: performance.now()});
		this.#run({requestId, request, response, headers});
	}
}
