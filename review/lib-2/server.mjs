// The platform's names of fields.
/* eslint-disable camelcase */
import {createServer} from 'node:http';
import {closeServer, listen} from './loopback.mjs';

/** Slots of a server of the plain service. */
const capacity = 6;

/** Stand-in for a sound server of a plain service: runs each request for a time and answers it. */
export class PlainServer {
	/** Requests that it has run, with the time of their arrival in milliseconds. */
	runs = [];
	/** Called at the arrival of each request. */
	onRun = () => undefined;
	#born = Date.now();
	#workMs;
	#running = 0;
	#server = createServer({keepAliveTimeout: 60_000}, (request, response) => {
		this.#handle(request, response);
	});

	constructor(id, workMs = 20) {
		this.id = id;
		this.#workMs = workMs;
	}

	async listen() {
		this.address = await listen(this.#server);
		return this.address;
	}

	/** Entry in the store's table of servers. */
	entry(backend, fields = {}) {
		return JSON.stringify({
			backend,
			address: this.address,
			zone: 'bole',
			version: 'v1',
			capacity,
			state: 'ready',
			warmup_left_ms: 0,
			seq: 1,
			born: this.#born,
			...fields,
		});
	}

	close() {
		closeServer(this.#server);
	}

	async #handle(request, response) {
		const at = performance.now();
		request.resume();
		if (request.url === '/healthz') {
			response.writeHead(200, {
				'X-Cicadaswitch-Instance-Id': this.id,
				'Content-Length': '0',
			});
			response.end();
			return;
		}

		const id = request.headers['x-cicadaswitch-request-id'];
		const base = id === undefined ? {} : {'X-Cicadaswitch-Request-Id': id};
		if (request.headers['x-cicadaswitch-expect-instance'] !== this.id) {
			response.writeHead(421, {...base, 'Content-Length': '0'});
			response.end();
			return;
		}

		this.runs.push({id, at, url: request.url});
		this.onRun(id);
		this.#running++;
		await new Promise((resolve) => {
			setTimeout(resolve, this.#workMs);
		});
		this.#running--;
		const body = 'x'.repeat(800);
		response.writeHead(200, {
			...base,
			'X-Cicadaswitch-Server-Stamp': `3e1b.${id}`,
			'X-Cicadaswitch-Server-Load': `${this.#running},0,${capacity}`,
			'Content-Length': String(body.length),
		});
		response.end(body);
	}
}
