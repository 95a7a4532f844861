import {createServer} from 'node:net';
import {request} from 'undici';

const waitTimeoutMs = 30_000;
const pollMs = 25;

/** A loopback port that is free at present. */
export async function freePort(): Promise<number> {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			const bound = server.address();
			server.close(() => {
				resolve(typeof bound === 'object' && bound ? bound.port : 0);
			});
		});
	});
}

/** Waits until a condition holds; rejects with its name when it does not within 30 s. */
export async function until(
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

	throw new Error(`not within ${waitTimeoutMs} ms: ${name}`);
}

/** Whether the process with this admin address is ready. */
export async function isReady(admin: string): Promise<boolean> {
	try {
		const answer = await request(`http://${admin}/readyz`);
		await answer.body.dump();
		return answer.statusCode === 200;
	} catch {
		// The process has not opened its admin address yet.
		return false;
	}
}
