import {createServer, type Server} from 'node:http';
import type {Disposable} from '../../base/index.js';
import {closeIdleInOrder} from '../idle-end.js';
import {listen} from '../listen.js';

export type AdminOptions = {
	/** State of the process as plain data. */
	readonly dump: () => unknown;
	/** Whether the process accepts new work. */
	readonly isReady: () => boolean;
	/** Starts a graceful shutdown. */
	readonly drain: () => void;
};

/** Serves /dump, /healthz, /readyz and /drain on the admin address. */
export class AdminServer implements Disposable {
	readonly #options: AdminOptions;
	readonly #server: Server;

	constructor(options: AdminOptions) {
		this.#options = options;
		this.#server = createServer((request, response) => {
			const [status, body] = this.#answer(request.method, request.url);
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify(body, undefined, '\t') + '\n');
		});
		closeIdleInOrder(this.#server);
	}

	/** Starts listening and resolves to the port; rejects when the address cannot be used. */
	async listen(address: string): Promise<number> {
		return listen(this.#server, address);
	}

	dispose(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#answer(method = 'GET', url = '/'): [number, unknown] {
		switch (`${method} ${url}`) {
			case 'GET /dump': {
				return [200, this.#options.dump()];
			}

			case 'GET /healthz': {
				return [200, {status: 'ok'}];
			}

			case 'GET /readyz': {
				return this.#options.isReady()
					? [200, {status: 'ready'}]
					: [503, {status: 'not ready'}];
			}

			case 'POST /drain': {
				this.#options.drain();
				return [202, {status: 'draining'}];
			}

			default: {
				return [404, {error: `no ${method} ${url} on the admin address`}];
			}
		}
	}
}
