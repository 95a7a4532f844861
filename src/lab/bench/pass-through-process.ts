import {createServer} from 'node:http';
import process from 'node:process';
import {pipeline} from 'node:stream/promises';
import {Agent, request} from 'undici';

/** Minimal proxy to the URL in the first argument, as the baseline for the cost of the router: Node `http` piping an undici response. Prints its own URL. */
const target = process.argv[2]!;
const pool = new Agent();

const server = createServer((incoming, response) => {
	if (incoming.url === '/usage') {
		const {user, system} = process.cpuUsage();
		const {rss} = process.memoryUsage();
		response.end(JSON.stringify({cpuMicros: user + system, rssBytes: rss}));
		return;
	}

	void (async () => {
		try {
			const answer = await request(`${target}${incoming.url}`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: incoming,
				dispatcher: pool,
			});
			response.writeHead(answer.statusCode, {
				'content-type': String(answer.headers['content-type']),
			});
			await pipeline(answer.body, response);
		} catch {
			response.destroy();
		}
	})();
});

server.listen(0, '127.0.0.1', () => {
	const bound = server.address();
	const port = typeof bound === 'object' && bound ? bound.port : 0;
	console.log(`http://127.0.0.1:${port}`);
});
