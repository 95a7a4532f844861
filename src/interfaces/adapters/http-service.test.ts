import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {expect} from 'earl';
import {Agent} from 'undici';
import {StandInServer} from '../standins/http-server.js';
import type {EndpointEvent} from '../ports/index.js';
import {HttpService} from './http-service.js';

/** Type of the last event of a call to a service that answers by a function of its response. */
async function lastEvent(
	method: string,
	answer: (response: ServerResponse) => void,
): Promise<EndpointEvent['type']> {
	const server = new StandInServer((_request, _body, response) => {
		answer(response);
	});
	const pool = new Agent();
	const service = new HttpService(await server.listen(), pool);
	const type = await new Promise<EndpointEvent['type']>((resolve) => {
		service.run(
			{method, path: '/', headers: {}, body: ''},
			{requestId: 'r'},
			(event) => {
				if (event.type === 'end' || event.type === 'error') {
					resolve(event.type);
				}
			},
		);
	});
	server.dispose();
	await pool.destroy();
	return type;
}

/** Makes the close of the connection the end of the body. */
function writeCloseDelimitedHead(response: ServerResponse): void {
	response.useChunkedEncodingByDefault = false;
	response.shouldKeepAlive = false;
	response.writeHead(200);
}

// Guards against a part of an answer that is passed on as whole because undici takes its reset for its end.
test('an answer of a service that has no length and is reset is an error', async () => {
	const type = await lastEvent('POST', (response) => {
		writeCloseDelimitedHead(response);
		response.write('half');
		setImmediate(() => {
			response.socket?.resetAndDestroy();
		});
	});
	expect(type).toEqual('error');
});

// Guards against the loss of answers whose end is known.
for (const [name, method, answer] of [
	[
		'with a length',
		'POST',
		(response: ServerResponse) => {
			response.writeHead(200, {'Content-Length': '4'}).end('fine');
		},
	],
	[
		'in chunks',
		'POST',
		(response: ServerResponse) => {
			response.write('fine');
			response.end();
		},
	],
	[
		'without a body',
		'POST',
		(response: ServerResponse) => {
			response.writeHead(204).end();
		},
	],
	[
		'to HEAD',
		'HEAD',
		(response: ServerResponse) => {
			writeCloseDelimitedHead(response);
			response.end();
		},
	],
] as const) {
	test(`an answer of a service ${name} ends`, async () => {
		expect(await lastEvent(method, answer)).toEqual('end');
	});
}
