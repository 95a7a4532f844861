import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {readSockets} from './read-sockets.js';

/** Time for which the peer may keep its side of a connection open that has been closed here, in milliseconds. */
const lingerMs = 1000;

/** Lets a server close its idle connections in order. By default Node.js destroys them, also when a request has arrived that has not been read yet. */
export function closeIdleInOrder(server: Server): void {
	server.on('timeout', (socket: Socket) => {
		void closeIfIdle(socket);
	});
}

async function closeIfIdle(socket: Socket): Promise<void> {
	if (await hasStayedIdle(socket)) {
		closeInOrder(socket);
	}
}

/** Whether nothing has arrived on an open connection once the sockets have been read. Node.js stops the timer of an idle connection when it reads from it. */
export async function hasStayedIdle(socket: Socket): Promise<boolean> {
	const {bytesRead} = socket;
	await readSockets();
	return (
		!socket.destroyed && !socket.writableEnded && socket.bytesRead === bytesRead
	);
}

/** Ends this side of a connection and, after a while, the connection. A close of both sides at once would reset a request on the way. */
export function closeInOrder(socket: Socket): void {
	socket.end();
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}
