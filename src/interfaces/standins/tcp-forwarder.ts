import {connect, createServer, type Server, type Socket} from 'node:net';

/** Forwards TCP connections to one address and can fall silent on those that are open. */
export class TcpForwarder {
	readonly #server: Server;
	readonly #pairs = new Set<readonly [Socket, Socket]>();

	constructor(target: {readonly host: string; readonly port: number}) {
		this.#server = createServer((near) => {
			this.#forward(near, connect(target));
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

	/** Passes nothing more on the open connections and leaves them open; new ones work. Returns their number. */
	silence(): number {
		const count = this.#pairs.size;
		for (const [near, far] of this.#pairs) {
			near.unpipe(far);
			far.unpipe(near);
			near.pause();
			far.pause();
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

	#forward(near: Socket, far: Socket): void {
		const pair = [near, far] as const;
		this.#pairs.add(pair);
		const end = () => {
			if (this.#pairs.delete(pair)) {
				near.destroy();
				far.destroy();
			}
		};

		for (const socket of pair) {
			socket.on('error', end);
			socket.on('close', end);
		}

		near.pipe(far);
		far.pipe(near);
	}
}
