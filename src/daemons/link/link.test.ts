import {once} from 'node:events';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {WebSocketServer} from 'ws';
import {parseSettings, type Hello} from '../../interfaces/index.js';
import {connect, LinkServer, PeerKeys, type Link} from './index.js';

const {limits} = parseSettings(
	`[process]
role = sidecar
instance = a
data_centre = b
region = c
[addresses]
peer = 127.0.0.1:1
admin = 127.0.0.1:2
[peers]
key = 0123456789abcdef
[platform]
table = http://127.0.0.1:3
instances = http://127.0.0.1:4
[endpoint]
type = engine
url = http://127.0.0.1:5`,
	'test.ini',
);

const entryHello: Hello = {
	instance: 'entry-1',
	role: 'entry',
	incarnation: 'one',
	dataCentre: 'bole',
	revision: 0,
};
const sidecarHello: Hello = {
	...entryHello,
	instance: 'engine-1',
	role: 'sidecar',
};

/** Starts a link server that accepts `keys` and passes each accepted link to `onLink`; resolves to its address. */
async function serve(
	t: TestContext,
	keys: string[],
	onLink: (link: Link) => void = () => undefined,
): Promise<string> {
	const server = new LinkServer({
		keys: new PeerKeys(keys),
		localHello: () => sidecarHello,
		limits,
	});
	t.after(() => {
		server.dispose();
	});
	server.onDidAccept(({link}) => {
		onLink(link);
	});
	return `127.0.0.1:${await server.listen('127.0.0.1:0')}`;
}

/** Resolves to the peer's instance, or 'refused' when the link could not be opened. */
async function tryConnect(address: string, keys: string[]): Promise<string> {
	try {
		const {link, peer} = await connect(address, {
			keys: new PeerKeys(keys),
			localHello: entryHello,
		});
		link.dispose();
		return peer.instance;
	} catch {
		return 'refused';
	}
}

// Guards against a key rotation that requires all processes to change keys at the same moment, and against a withdrawn key that still opens links.
test('peers link when they share one of two valid keys', async (t) => {
	const address = await serve(t, ['key-two', 'key-one']);
	const keysOfPeers = [['key-one'], ['key-two'], ['key-three', 'key-two']];
	for (const keys of keysOfPeers) {
		expect(await tryConnect(address, keys)).toEqual('engine-1');
	}

	expect(await tryConnect(address, ['key-three'])).toEqual('refused');
});

// Guards against an impostor at a sidecar's address that receives requests without knowing a key.
test('the connecting side refuses a peer that cannot prove a key', async (t) => {
	const impostor = new WebSocketServer({host: '127.0.0.1', port: 0});
	t.after(() => {
		impostor.close();
	});
	await once(impostor, 'listening');
	impostor.on('connection', (socket) => {
		socket.on('message', (data: Uint8Array) => {
			const {id, method, params} = JSON.parse(String(data)) as {
				id: number;
				method: string;
				params: {nonce?: string; proofs?: string[]};
			};
			// Reflects the connecting side's proof, which must not be valid for the accepting side.
			const result =
				method === 'hello'
					? {nonce: params.nonce}
					: {hello: sidecarHello, proof: params.proofs![0]};
			socket.send(JSON.stringify({jsonrpc: '2.0', id, result}));
		});
	});
	const bound = impostor.address() as {port: number};
	const answer = await tryConnect(`127.0.0.1:${bound.port}`, ['key-one']);
	expect(answer).toEqual('refused');
});

// Guards against a burst of requests whose batch exceeds the maximum message size, so that the link is aborted for all of them.
test('a burst of large notifications arrives whole', async (t) => {
	const received: number[] = [];
	const address = await serve(t, ['key-one'], (link) => {
		link.on('load', (parameters) => {
			received.push((parameters as {number: number}).number);
		});
		link.on('done', () => 'yes');
	});
	const {link} = await connect(address, {
		keys: new PeerKeys(['key-one']),
		localHello: entryHello,
	});
	t.after(() => {
		link.dispose();
	});
	for (let number = 0; number < 8; number++) {
		link.notify('load', () => ({number, text: 'x'.repeat(4 * 1024 * 1024)}));
	}

	await new Promise((resolve) => {
		setImmediate(resolve);
	});
	expect(await link.request('done', {}, 10_000)).toEqual('yes');
	expect(received).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
});

// Guards against links that accumulate when entries connect to many sidecars in turn, and against closing one that still has work in flight.
test('an idle link closes and one with work in flight stays', async (t) => {
	const address = await serve(t, ['key-one'], (link) => {
		link.on('start', () => {
			link.beginWork('work');
		});
	});
	const options = {
		keys: new PeerKeys(['key-one']),
		localHello: entryHello,
		idleMs: 50,
	};
	const idle = await connect(address, options);
	const busy = await connect(address, options);
	let isBusyClosed = false;
	busy.link.onDidClose(() => {
		isBusyClosed = true;
	});
	busy.link.beginWork('work');
	busy.link.notify('start', () => ({}));
	await new Promise<void>((resolve) => {
		idle.link.onDidClose(resolve);
	});
	expect(isBusyClosed).toEqual(false);
	busy.link.endWork('work');
	await new Promise<void>((resolve) => {
		busy.link.onDidClose(resolve);
	});
});
