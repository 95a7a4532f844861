import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {waitUntil} from '../../lab/fleet/loopback.js';
import {Answer} from './answer.js';

/** What a caller receives of an answer that `write` writes. */
async function receive(
	httpVersion: string,
	write: (answer: Answer) => void,
): Promise<string> {
	const server = createServer((_request, response) => {
		write(
			new Answer(response, {
				form: 'raw',
				requestId: 'r',
				maxPendingSize: 1000,
				onDidAcknowledge: () => undefined,
			}),
		);
	});
	server.listen(0, '127.0.0.1');
	await waitUntil('listening', () => server.listening);
	const {port} = server.address() as AddressInfo;
	const text = await new Promise<string>((resolve) => {
		const socket = connect(port, '127.0.0.1');
		let received = '';
		socket.on('data', (data) => {
			received += data.toString();
		});
		socket.on('close', () => {
			resolve(received);
		});
		socket.write(
			`GET / HTTP/${httpVersion}\r\nHost: h\r\nConnection: close\r\n\r\n`,
		);
	});
	server.close();
	return text;
}

function begin(answer: Answer): void {
	answer.head({
		type: 'head',
		requestId: 'r',
		status: 200,
		headers: {'content-type': 'text/plain'},
		binary: true,
	});
	answer.chunk({
		type: 'chunk',
		requestId: 'r',
		eventId: 'e',
		sequence: 1,
		data: Buffer.from('half').toString('base64'),
	});
}

// Guards against a part of a raw answer that looks complete to a caller who sees its end only by the close of the connection.
for (const [httpVersion, status] of [
	['1.0', '502 Bad Gateway'],
	['1.1', '200 OK'],
] as const) {
	test(`a raw answer that breaks off is not complete for an HTTP/${httpVersion} caller`, async () => {
		const text = await receive(httpVersion, (answer) => {
			begin(answer);
			setTimeout(() => {
				answer.end({
					type: 'end',
					requestId: 'r',
					outcome: 'unknown',
					failure: {
						status: 502,
						code: 'answer_cut',
						text: 'cut',
						retryAfterMs: undefined,
					},
					offers: 1,
				});
			}, 50);
		});
		expect(text.startsWith(`HTTP/1.1 ${status}\r\n`)).toEqual(true);
		expect(text.endsWith('0\r\n\r\n')).toEqual(false);
	});
}

// Guards against a raw answer that an HTTP/1.0 caller does not get.
test('a raw answer has its length for an HTTP/1.0 caller', async () => {
	const text = await receive('1.0', (answer) => {
		begin(answer);
		answer.end({
			type: 'end',
			requestId: 'r',
			outcome: 'completed',
			offers: 1,
		});
	});
	expect(text.includes('content-length: 4\r\n')).toEqual(true);
	expect(text.endsWith('\r\n\r\nhalf')).toEqual(true);
});
