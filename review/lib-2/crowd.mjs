import {connect} from 'node:net';
import {delay} from './play.mjs';

/** Connections that are opened at once while many are missing, and then; the pause between two rounds, in milliseconds. */
const largeBatch = 20;
const smallBatch = 1;
const pauseMs = 10;

/** Interval at which a crowd that presses opens further connections, in milliseconds. */
const pressMs = 20;

/** Number of missing connections below which they are opened one by one. */
const fewMissing = 200;

/** Time for which the number of open connections has not changed when the crowd counts as settled, in milliseconds. */
const settledMs = 1000;

/** Connections of callers that each send a text at once and stay open. Those that the gateway closes are replaced until the crowd has settled. */
export class Crowd {
	open = new Set();
	#port;
	#text;
	#sockets;

	constructor(port, text, sockets) {
		this.#port = port;
		this.#text = text;
		this.#sockets = sockets;
	}

	/** Opens connections until so many are open and have stayed so, or until `isOver`. */
	async grow(count, isOver) {
		let settledAt = performance.now() + settledMs;
		while (performance.now() < settledAt && !isOver()) {
			const missing = count - this.open.size;
			const batch = missing > fewMissing ? largeBatch : smallBatch;
			for (let left = Math.min(batch, missing); left > 0; left--) {
				this.#connect();
				settledAt = performance.now() + settledMs;
			}

			await delay(pauseMs);
		}
	}

	/** Opens one connection after the other, also when as many are open as the gateway accepts, until `isOver`. */
	async press(isOver) {
		while (!isOver()) {
			this.#connect();
			await delay(pressMs);
		}
	}

	#connect() {
		const socket = connect(this.#port, '127.0.0.1');
		this.open.add(socket);
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.open.delete(socket);
			this.#sockets.delete(socket);
		});
		socket.resume();
		socket.write(this.#text);
	}
}
