import {randomInt} from 'node:crypto';
import {createServer} from 'node:net';
import {request} from 'undici';

const waitTimeoutMs = 30_000;
const pollMs = 25;

/** Range below the ephemeral ports: an outgoing connection could otherwise occupy a free port before the process that is to listen on it has started. */
const [firstPort, lastPort] = [10_240, 32_767] as const;

/** Ports that `freePort` has returned in this process. */
const assignedPorts = new Set<number>();

/** Returns a loopback port that is free and has not been assigned by this process or by another one that still runs. */
export async function freePort(): Promise<number> {
	for (;;) {
		const port = randomInt(firstPort, lastPort + 1);
		if (
			!assignedPorts.has(port) &&
			(await canListen(port)) &&
			(await reservePort(port))
		) {
			assignedPorts.add(port);
			return port;
		}
	}
}

/**
 * Reserves a port for this test process until it ends; false when another test
 * process has reserved it. A port stays free until its process listens, which
 * takes many seconds on a busy machine. The reservation is a name in the
 * abstract socket namespace of Linux; elsewhere every reservation succeeds.
 */
export async function reservePort(port: number): Promise<boolean> {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', (error: NodeJS.ErrnoException) => {
			resolve(error.code !== 'EADDRINUSE');
		});
		server.listen(`\0cicadaswitch-port-${port}`, () => {
			server.unref();
			resolve(true);
		});
	});
}

async function canListen(port: number): Promise<boolean> {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Polls a condition until it holds; rejects after 30 s with an error that states its name. */
export async function waitUntil(
	name: string,
	condition: () => boolean | Promise<boolean>,
): Promise<void> {
	const startedAt = Date.now();
	while (Date.now() - startedAt < waitTimeoutMs) {
		if (await condition()) {
			return;
		}

		await new Promise((resolve) => {
			setTimeout(resolve, pollMs);
		});
	}

	throw new Error(`timed out after ${waitTimeoutMs} ms waiting for: ${name}`);
}

/** Whether the process at this admin address answers its readiness check with 200. */
export async function isReady(admin: string): Promise<boolean> {
	try {
		const answer = await request(`http://${admin}/readyz`);
		await answer.body.dump();
		return answer.statusCode === 200;
	} catch {
		// The process does not listen on its admin address yet.
		return false;
	}
}
