import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Disposable} from '../../base/index.js';
import type {CallerLimits} from '../../interfaces/index.js';
import {listen} from '../listen.js';
import type {Log} from '../log.js';
import {RefusalLog} from './refusal-log.js';
import type {CallerMemory} from './caller-memory.js';
import {CallerConnections} from './caller-connections.js';

/** Maximum size of request headers in the HTTP parser, in bytes; set when the server is created, before the configuration has been read. */
const maxHeaderBytes = 64 * 1024;

/** Limits until the configuration has been read. */
const initialLimits: CallerLimits = {
	maxHeaderBytes: 16 * 1024,
	maxBodyBytes: 4 * 1024 * 1024,
	headerTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};

/** HTTP server for callers: owns their connections and applies the limits of the configuration in force to them. */
export class CallerServer implements Disposable {
	readonly connections: CallerConnections;
	readonly #server: Server;
	#limits = initialLimits;

	constructor(
		log: Log,
		memory: CallerMemory,
		onDidRefuse: (reason: string) => void,
		onRequest: (request: IncomingMessage, response: ServerResponse) => void,
	) {
		const refusals = new RefusalLog(log);
		this.#server = createServer(
			{
				maxHeaderSize: maxHeaderBytes,
				requestTimeout: 0,
				connectionsCheckingInterval: 1000,
			},
			onRequest,
		);
		this.connections = new CallerConnections(this.#server, {
			idleTimeoutMs: initialLimits.idleTimeoutMs,
			memory,
			onDidRefuse(refusal) {
				onDidRefuse(refusal.reason);
				refusals.log(refusal);
			},
		});
		this.limits = initialLimits;
	}

	get limits(): CallerLimits {
		return this.#limits;
	}

	set limits(limits: CallerLimits) {
		this.#limits = limits;
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.connections.setIdleTimeout(limits.idleTimeoutMs);
	}

	/** Starts to listen; rejects when the address cannot be used. */
	async listen(address: string): Promise<void> {
		await listen(this.#server, address);
	}

	/** Accepts no more connections. */
	stopListening(): void {
		this.#server.close();
	}

	dispose(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
