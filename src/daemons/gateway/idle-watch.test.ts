import {test} from 'node:test';
import {expect} from 'earl';
import {waitUntil} from '../../lab/fleet/loopback.js';
import {PeerLoads, Upstream} from '../../services/gateway/index.js';
import {IdleWatch} from './idle-watch.js';

function watch(readSockets = async () => undefined): {
	idleWatch: IdleWatch;
	timeouts: number[];
} {
	const timeouts: number[] = [];
	const upstream = new Upstream(
		{
			id: 'e',
			service: 's',
			address: '127.0.0.1:1',
			dataCentre: 'd',
			isDraining: false,
			slots: 8,
			startedAt: 1,
			warmUpMs: 0,
		},
		0,
		undefined,
		new PeerLoads(),
	);
	const idleWatch = new IdleWatch({
		upstream,
		checkMs: undefined,
		checkLiveness: async () => ({type: 'alive'}),
		readSockets,
		async onDidTimeOut(timeoutMs) {
			timeouts.push(timeoutMs);
		},
		onDidLoseEndpoint: () => undefined,
		onDidFallSilent: async () => undefined,
	});
	return {idleWatch, timeouts};
}

// Guards against retries that a send takes after its end, for example when its caller has read the rest of the answer.
test('a watch that has been disposed of reports nothing more', async () => {
	const {idleWatch, timeouts} = watch();
	const other = watch();
	idleWatch.dispose();
	idleWatch.restart(1);
	other.idleWatch.restart(5);
	await waitUntil('timed out', () => other.timeouts.length > 0);
	other.idleWatch.dispose();
	idleWatch.dispose();
	expect(timeouts).toEqual([]);
});

// Guards against a request that stays at a slow endpoint because none had capacity at the first timeout.
test('a timeout is reported again until the period ends', async () => {
	const {idleWatch, timeouts} = watch();
	idleWatch.restart(5);
	await waitUntil('reported again', () => timeouts.length > 1);
	idleWatch.dispose();
	expect(timeouts.slice(0, 2)).toEqual([5, 5]);
});

// Guards against answers that are taken for late after this process has paused, as its timers run before its sockets are read.
test('data that has arrived before a timeout counts first', async () => {
	let reads = 0;
	const {idleWatch, timeouts} = watch(async () => {
		reads++;
		if (reads === 1) {
			idleWatch.restart(5);
		}
	});
	idleWatch.restart(5);
	await waitUntil('timed out', () => timeouts.length > 0);
	idleWatch.dispose();
	expect(reads).toEqual(2);
});
