import {connect, createServer, type Server, type Socket} from 'node:net';

/** Forwards TCP connections to one address; can stop forwarding on open connections without closing them, like a network that drops packets. */
export class TcpForwarder {
	readonly #server: Server;
	readonly #pairs = new Set<readonly [Socket, Socket]>();

	constructor(target: {readonly host: string; readonly port: number}) {
		this.#server = createServer((client) => {
			this.#forward(client, connect(target));
		});
	}

	/** Listens on a free loopback port; resolves to "IP:port". */
	async listen(): Promise<string> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, '127.0.0.1', () => {
				const bound = this.#server.address();
				resolve(
					`127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`,
				);
			});
		});
	}

	/** Stops forwarding on all open connections without closing them; new connections work. Returns the number of connections stopped. */
	silence(): number {
		const count = this.#pairs.size;
		for (const [client, target] of this.#pairs) {
			client.unpipe(target);
			target.unpipe(client);
			client.pause();
			target.pause();
		}

		this.#pairs.clear();
		return count;
	}

	dispose(): void {
		this.#server.close();
		for (const pair of this.#pairs) {
			for (const socket of pair) {
				socket.destroy();
			}
		}
	}

	#forward(client: Socket, target: Socket): void {
		const pair = [client, target] as const;
		this.#pairs.add(pair);
		const end = () => {
			if (this.#pairs.delete(pair)) {
				client.destroy();
				target.destroy();
			}
		};

		for (const socket of pair) {
			socket.on('error', end);
			socket.on('close', end);
		}

		client.pipe(target);
		target.pipe(client);
	}
}
