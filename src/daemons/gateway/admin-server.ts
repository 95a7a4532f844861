import type {Server} from 'node:http';
import type {Disposable} from '../../base/index.js';
import {listen} from '../listen.js';
import type {CallerMemory} from './caller-memory.js';
import {createOperatorServer} from './operator-server.js';

export type GatewayAdminOptions = {
	readonly address: string;
	readonly memory: CallerMemory;
	readonly metricsPath: string;
	readonly metrics: () => Promise<string>;
	/** Returns the state of the process as data that can be written as JSON. */
	readonly state: () => unknown;
};

const statePath = '/state';

/** Admin server of a gateway: serves metrics as text and the state as JSON, on a separate address. */
export class GatewayAdmin implements Disposable {
	readonly #options: GatewayAdminOptions;
	readonly #server: Server;

	constructor(options: GatewayAdminOptions) {
		this.#options = options;
		this.#server = createOperatorServer(options.memory, (request, response) => {
			void this.#respond(request.url ?? '').then(({status, type, body}) => {
				response.writeHead(status, {'Content-Type': type}).end(body);
			});
		});
	}

	async start(): Promise<void> {
		await listen(this.#server, this.#options.address);
	}

	dispose(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #respond(
		path: string,
	): Promise<{status: number; type: string; body: string}> {
		const {metricsPath, metrics, state} = this.#options;
		switch (path) {
			case metricsPath: {
				return {status: 200, type: 'text/plain', body: await metrics()};
			}

			case statePath: {
				const body = JSON.stringify(state());
				return {status: 200, type: 'application/json', body};
			}

			default: {
				return {status: 404, type: 'text/plain', body: ''};
			}
		}
	}
}
