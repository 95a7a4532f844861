import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';

/** Handles one request to a stand-in; when it throws or rejects, the server answers with status 500. */
export type Handler = (
	request: IncomingMessage,
	body: string,
	response: ServerResponse,
) => void | Promise<void>;

/** HTTP server of a stand-in on a loopback port. */
export class StandInServer {
	readonly #server: Server;

	constructor(handler: Handler) {
		this.#server = createServer((request, response) => {
			void handle(handler, request, response);
		});
	}

	/** Listens on loopback and resolves to the base URL. Port 0 selects a free port. */
	async listen(port = 0): Promise<string> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, '127.0.0.1', () => {
				const bound = this.#server.address();
				const actual = typeof bound === 'object' && bound ? bound.port : port;
				resolve(`http://127.0.0.1:${actual}`);
			});
		});
	}

	/** Stops at once and closes every connection, as a crash would. */
	dispose(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}

async function handle(
	handler: Handler,
	request: IncomingMessage,
	response: ServerResponse,
): Promise<void> {
	try {
		const parts: Buffer[] = [];
		for await (const part of request as AsyncIterable<Buffer>) {
			parts.push(part);
		}

		await handler(request, Buffer.concat(parts).toString('utf8'), response);
	} catch (error) {
		if (!response.headersSent) {
			sendJson(response, 500, {error: String(error)});
		}
	}
}

export function sendJson(
	response: ServerResponse,
	status: number,
	body: unknown,
): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}
