import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {closeIdleInOrder} from '../idle-end.js';
import {CallerInput} from './caller-input.js';
import type {CallerMemory} from './caller-memory.js';
import {refusalText, tooLarge} from './caller-refusal.js';

/** Open connections to one listener; a further one takes the place of the oldest, so that health checks always get one. */
const maxConnections = 64;

/** Time for the head of a request to arrive, in milliseconds. */
const headTimeoutMs = 3000;

/** Creates an HTTP server for health checks or operators. It answers one request at a time on a connection and accepts no bodies, so that nobody exhausts the memory through it. */
export function createOperatorServer(
	memory: CallerMemory,
	onRequest: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
	const inputs = new Map<Socket, CallerInput>();
	const server = createServer(
		{
			headersTimeout: headTimeoutMs,
			connectionsCheckingInterval: headTimeoutMs,
		},
		(request, response) => {
			const input = inputs.get(request.socket);
			input?.begin(request);
			response.once('close', () => {
				input?.end();
			});
			if (hasBody(request)) {
				input?.refuse(refusalText(tooLarge));
			} else {
				onRequest(request, response);
			}
		},
	);
	server.on('connection', (socket) => {
		const [oldest] = inputs.keys();
		if (oldest && inputs.size >= maxConnections) {
			oldest.destroy();
		}

		inputs.set(socket, new CallerInput(socket, memory));
		socket.once('close', () => {
			inputs.delete(socket);
		});
	});
	closeIdleInOrder(server);
	return server;
}

function hasBody({headers}: IncomingMessage): boolean {
	return (
		headers['transfer-encoding'] !== undefined ||
		Number(headers['content-length'] ?? 0) > 0
	);
}
