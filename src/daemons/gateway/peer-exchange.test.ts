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

function createExchange(address: string): PeerExchange {
	const loads = new PeerLoads();
	return new PeerExchange({
		instance: 'own',
		address,
		endpoints: new EndpointSet(() => undefined, loads),
		loads,
		rateLimits: new RateLimits(),
		crashSuspects: new CrashSuspects(),
		onDidChangeSuspects: () => undefined,
		log: new Log({format: 'json', level: 'silent'}),
		metrics: new GatewayMetrics({
			requestsInProgress: () => 0,
			requestsWaiting: () => 0,
			configurationVersion: () => 0,
			configurationAgeMs: () => 0,
			endpoints: () => 0,
			gateways: () => 0,
			droppedLines: () => 0,
		}),
		onDidReceiveReport: () => undefined,
		onDidDiscoverPeer: () => undefined,
		proof: () => undefined,
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
			const message = encodeMessage({
				type: 'report',
				gateway: `peer-${index}`,
				sequence,
				incarnation: 1,
				settledReservation: 0,
				loads: [],
				prefills: [],
				kept: [],
				leavingEndpoints: [],
			});
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
				await gateway.requestFreshness();
				return receivedNumbers.length > before;
			},
		);
		lastNumbers.push(receivedNumbers.at(-1)!);
		gateway.dispose();
	}

	peer.close();
	expect(lastNumbers[1]! > lastNumbers[0]!).toEqual(true);
});
