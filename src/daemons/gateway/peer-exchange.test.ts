import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {test} from 'node:test';
import {expect} from 'earl';
import {freePort, waitUntil} from '../../lab/fleet/loopback.js';
import {
	CrashSuspects,
	EndpointSet,
	PeerLoads,
	RateLimits,
} from '../../services/gateway/index.js';
import {Log} from '../log.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {PeerExchange} from './peer-exchange.js';
import {decodeMessage, encodeMessage} from './peer-messages.js';

const host = '127.0.0.1';

function createExchange(
	address: string,
	{
		onLine,
		onReport,
	}: {onLine?: (line: string) => void; onReport?: () => void} = {},
): PeerExchange {
	const loads = new PeerLoads();
	return new PeerExchange({
		instance: 'own',
		address,
		endpoints: new EndpointSet(() => undefined, loads),
		loads,
		rateLimits: new RateLimits(),
		crashSuspects: new CrashSuspects(),
		onDidChangeSuspects: () => undefined,
		log: new Log({
			format: 'json',
			level: onLine ? 'info' : 'silent',
			write: onLine,
		}),
		metrics: new GatewayMetrics({
			requestsInProgress: () => 0,
			requestsWaiting: () => 0,
			configurationVersion: () => 0,
			configurationAgeMs: () => 0,
			endpoints: () => 0,
			gateways: () => 0,
			droppedLines: () => 0,
		}),
		onDidReceiveReport: onReport ?? (() => undefined),
		onDidDiscoverPeer: () => undefined,
		proof: () => undefined,
	});
}

function report(gateway: string, sequence: number): Uint8Array {
	return encodeMessage({
		type: 'report',
		gateway,
		sequence,
		incarnation: 1,
		settledReservation: 0,
		loads: [],
		prefills: [],
		kept: [],
		leavingEndpoints: [],
	});
}

// Guards against a late answer to the process before a restart, which would make outdated copies of the new process look current.
test('a restarted gateway does not reuse request numbers', async () => {
	const port = await freePort();
	const peer = createSocket('udp4');
	const receivedNumbers: number[] = [];
	peer.on('message', (bytes) => {
		const message = decodeMessage(bytes);
		if (message?.type === 'proof ask') {
			receivedNumbers.push(message.number);
		}
	});
	peer.bind(0, host);
	await once(peer, 'listening');
	// With this many gateways this one does not read the store itself.
	const sendReports = (sequence: number) => {
		for (let index = 0; index < 40; index++) {
			const message = report(`peer-${index}`, sequence);
			peer.send(message, port, host);
		}
	};

	const lastNumbers: number[] = [];
	for (const process of [1, 2]) {
		const gateway = createExchange(`${host}:${port}`);
		gateway.start();
		let sequence = process * 1000;
		const before = receivedNumbers.length;
		await waitUntil(
			'the other gateway receives a revalidation request',
			async () => {
				sequence++;
				sendReports(sequence);
				await gateway.freshness.requestFreshness();
				return receivedNumbers.length > before;
			},
		);
		lastNumbers.push(receivedNumbers.at(-1)!);
		gateway.dispose();
	}

	peer.close();
	expect(lastNumbers[1]! > lastNumbers[0]!).toEqual(true);
});

// Guards against a log that is filled by a program that sends other bytes to a gateway's port, and against reports that are not read after them.
test('unreadable datagrams are logged once for each sender', async () => {
	const port = await freePort();
	const lines: string[] = [];
	let reports = 0;
	const gateway = createExchange(`${host}:${port}`, {
		onLine(line) {
			lines.push(line);
		},
		onReport() {
			reports++;
		},
	});
	gateway.start();
	const nested = new Uint8Array(60_000).fill(0x91);
	const sender = createSocket('udp4');
	let sequence = 0;
	await waitUntil('reports are read', async () => {
		sequence++;
		sender.send(new Uint8Array(sequence), port, host);
		sender.send(nested, port, host);
		sender.send(report('peer', sequence), port, host);
		return reports > 10;
	});
	sender.close();
	gateway.dispose();
	const unreadable = lines.filter((line) =>
		line.includes('peer_message_unreadable'),
	);
	expect(unreadable.length).toEqual(1);
});
