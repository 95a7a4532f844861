import {randomUUID} from 'node:crypto';
import {createServer, connect as connectSocket, type Socket} from 'node:net';
import process from 'node:process';
import {connect, LinkServer, PeerKeys} from '../../daemons/index.js';
import {listen} from '../../daemons/listen.js';
import {limitsSection, type Hello} from '../../interfaces/index.js';

const key = 'capacity-measurement-key';
const warmUpCount = 20;
const measuredCount = 200;

/** Cost of opening and closing one link between two processes. */
export type LinkOpening = {
	/** Bytes in both directions, without TCP and IP headers. */
	readonly bytes: number;
	/** Sum of the processor time of both ends, in microseconds. */
	readonly microseconds: number;
};

/** Opens links on loopback: one through a proxy that counts the bytes, then 200 directly to measure the processor time. */
export async function measureLinkOpening(): Promise<LinkOpening> {
	const keys = new PeerKeys([key]);
	const server = new LinkServer({
		keys,
		localHello: hello,
		limits: limitsSection.parse({}),
	});
	const port = await server.listen('127.0.0.1:0');
	const counter = new ByteCounter(port);
	const address = await counter.listen();
	const open = async (target: string) => {
		const {link} = await connect(target, {keys, localHello: hello()});
		await link.end();
	};

	await open(address);
	const bytes = await counter.bytesAfterClose();
	for (let n = 0; n < warmUpCount; n++) {
		await open(`127.0.0.1:${port}`);
	}

	const start = process.cpuUsage();
	for (let n = 0; n < measuredCount; n++) {
		await open(`127.0.0.1:${port}`);
	}

	const used = process.cpuUsage(start);
	counter.dispose();
	server.dispose();
	return {bytes, microseconds: (used.user + used.system) / measuredCount};
}

function hello(): Hello {
	return {
		instance: 'endpoint-00001',
		role: 'sidecar',
		incarnation: randomUUID(),
		dataCentre: 'dc-1',
		revision: 1000,
	};
}

/** Forwards connections to a loopback port and counts the bytes of both directions. */
class ByteCounter {
	#bytes = 0;
	readonly #sockets = new Set<Socket>();
	readonly #server;

	constructor(port: number) {
		this.#server = createServer((client) => {
			const target = connectSocket({host: '127.0.0.1', port});
			this.#relay(client, target);
			this.#relay(target, client);
		});
	}

	async listen(): Promise<string> {
		return `127.0.0.1:${await listen(this.#server, '127.0.0.1:0')}`;
	}

	/** Resolves to the number of bytes counted when every open connection has closed. */
	async bytesAfterClose(): Promise<number> {
		await Promise.all(
			[...this.#sockets].map(
				async (socket) =>
					new Promise((resolve) => {
						socket.once('close', resolve);
					}),
			),
		);
		return this.#bytes;
	}

	dispose(): void {
		this.#server.close();
	}

	#relay(from: Socket, to: Socket): void {
		this.#sockets.add(from);
		from.on('data', (data) => {
			this.#bytes += data.length;
			to.write(data);
		});
		from.on('end', () => {
			to.end();
		});
		from.on('close', () => {
			this.#sockets.delete(from);
		});
	}
}
