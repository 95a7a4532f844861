import {test} from 'node:test';
import {expect} from 'earl';
import type {
	ListedEndpoint,
	MemoryTransfer,
} from '../../interfaces/ports/index.js';
import {PeerLoads} from './peer-loads.js';
import {place, type Placeable} from './placement.js';
import {prefixLinks, type PrefixLink} from './prefix-memory.js';
import {Upstream} from './upstream.js';

const slots = 16;

function upstreams(
	count: number,
	peers = new PeerLoads(),
	transfer?: MemoryTransfer,
): Upstream[] {
	return Array.from({length: count}, (_, index) => {
		const listed: ListedEndpoint = {
			id: `e${index}`,
			service: 's',
			address: `10.0.0.${index}:80`,
			dataCentre: 'd',
			isDraining: false,
			slots,
			startedAt: 1,
			warmUpMs: 0,
		};
		return new Upstream(
			listed,
			0,
			{
				name: 's',
				maxConnections: 100,
				engine: {slots, kvTokens: 500_000, eventTokens: 1, transfer},
			},
			peers,
		);
	});
}

function request(links: readonly PrefixLink[]): Placeable {
	const promptTokens = links.reduce((sum, {tokens}) => sum + tokens, 0);
	return {
		prompt: {model: 'm', promptTokens, outputTokens: 50, parts: []},
		links,
		waitedMs: 0,
		tried: new Set(),
		isOnce: false,
		dataCentre: 'd',
		objectiveMs: 2000,
		rank: 0,
	};
}

function prompt(subject: string, own: string): PrefixLink[] {
	return prefixLinks([
		{id: subject, tokens: 12_000},
		{id: own, tokens: 1000},
	]);
}

const plain: Placeable = {...request([]), prompt: undefined, objectiveMs: 100};

// Guards against prompt parts that every engine reads because gateways send them to different engines.
test('gateways that know nothing of each other choose the same engine for a subject', () => {
	for (let subject = 0; subject < 50; subject++) {
		const chosen = [0, 1, 2].map((own) => {
			const placed = place(
				request(prompt(`subject-${subject}`, `own-${own}`)),
				upstreams(8),
				0,
			);
			return placed.type === 'send' ? placed.upstream.id : placed.type;
		});
		expect(new Set(chosen).size).toEqual(1);
	}
});

// Guards against an overload that feeds itself: while engines have a backlog, a prompt that goes elsewhere is read again and adds to it.
test('a subject stays with the engine that has read it while all have a backlog', () => {
	const all = upstreams(8);
	const links = prompt('subject', 'one');
	const first = place(request(links), all, 0);
	expect(first.type).toEqual('send');
	const holder = first.type === 'send' ? first.upstream : undefined;
	const work = holder!.begin(links, 13_000, 0);
	holder!.answered(work, links);
	for (const upstream of all) {
		upstream.begin(prompt(`busy-${upstream.id}`, 'x'), 13_000, 0);
	}

	holder!.begin(prompt('more', 'x'), 3000, 0);
	const next = place(request(prompt('subject', 'two')), all, 0);
	expect(next.type === 'send' && next.upstream === holder).toEqual(true);
});

// Guards against two requests that make an engine read the same part at once.
test('a request waits while its shared part is being read, but not for long', () => {
	const all = upstreams(3);
	const links = prompt('subject', 'one');
	const first = place(request(links), all, 0);
	if (first.type === 'send') {
		first.upstream.begin(links, 13_000, 0);
	}

	const next = request(prompt('subject', 'two'));
	expect(place(next, all, 100).type).toEqual('wait');
	expect(place({...next, waitedMs: 1500}, all, 1500).type).toEqual('send');
});

// Guards against prompts that pile up at engines, where an urgent request cannot pass them.
test('a request waits at the gateway when every engine has prompts to read', () => {
	const all = upstreams(2);
	for (const upstream of all) {
		upstream.begin(prompt(upstream.id, 'x'), 60_000, 0);
	}

	expect(place(request(prompt('subject', 'x')), all, 0).type).toEqual('wait');
});

// Guards against a herd towards one endpoint when work of other gateways is not seen.
test('work of other gateways counts as load', () => {
	const peers = new PeerLoads();
	const [first, second] = upstreams(2, peers);
	peers.receive(
		{
			gateway: 'g',
			sequence: 1,
			incarnation: 1,
			loads: [{endpoint: first!.key, running: 6, unreadTokens: 0}],
			settled: 0,
			reads: [],
			kept: [],
			leavers: [],
		},
		0,
	);
	const placed = place(plain, [first!, second!], 0);
	expect(placed.type === 'send' && placed.upstream === second).toEqual(true);
});

// Guards against requests that may not be repeated at an endpoint that has just been down.
test('an endpoint on trial gets one request at a time, and none that runs at most once', () => {
	const [first, second] = upstreams(2);
	first!.health.block(0);
	expect(place(plain, [first!], 100)).toEqual({
		type: 'refuse',
		reason: 'all endpoints down',
		retryAfterMs: 400,
	});
	for (let count = 0; count < 10; count++) {
		second!.begin([], 0, 600);
	}

	const trial = place(plain, [first!, second!], 5000);
	expect(trial.type === 'send' && trial.upstream === second).toEqual(true);
	const once = place({...plain, isOnce: true}, [first!, second!], 30_000);
	expect(once.type === 'send' && once.upstream === second).toEqual(true);
});

// Guards against a retry that goes to the endpoint that has just failed.
test('an endpoint that has been tried is not tried again', () => {
	const [only] = upstreams(1);
	const placed = place({...plain, tried: new Set([only!])}, [only!], 0);
	expect(placed.type).toEqual('refuse');
});

// Guards against urgent requests that find engines full of less urgent prompts: while both wait, only the urgent one may go.
test('prompts of a lower tier leave room for a higher one', () => {
	const [only] = upstreams(1);
	const loose = {...request(prompt('loose', 'x')), rank: 2};
	let sent = 0;
	for (;;) {
		const placed = place(loose, [only!], 0);
		if (placed.type !== 'send') {
			break;
		}

		sent++;
		only!.begin(prompt(`loose-${sent}`, 'x'), 3000, 0);
	}

	expect(sent > 0).toEqual(true);
	expect(place(request(prompt('urgent', 'x')), [only!], 0).type).toEqual(
		'send',
	);
});

// Guards against an overload that the count of unread prompts does not show: an engine that answers later than expected gets less.
test('an engine that answers late stops at a smaller backlog', () => {
	const [only] = upstreams(1);
	only!.begin(prompt('busy', 'x'), 15_000, 0);
	expect(place(request(prompt('a', 'x')), [only!], 0).type).toEqual('send');
	for (let sample = 0; sample < 20; sample++) {
		only!.timed(3000, 1000, 0);
	}

	expect(place(request(prompt('a', 'x')), [only!], 0).type).toEqual('wait');
});

// Guards against prompts that leave the engine that holds them because queues differ, and against a straggler that keeps them.
test('a prompt leaves the engine that holds it only when that is a straggler', () => {
	const all = upstreams(4);
	const links = prompt('subject', 'one');
	const [holder] = all;
	holder!.answered(holder!.begin(links, 13_000, 0), links);
	const next = request(prompt('subject', 'two'));
	const leaves = () => {
		const placed = place(next, all, 0);
		return placed.type === 'send' && placed.upstream !== holder;
	};

	holder!.begin(prompt('busy', 'x'), 8000, 0);
	for (const upstream of all) {
		for (let sample = 0; sample < 20; sample++) {
			upstream.timed(upstream === holder ? 3000 : 1800, 1000, 0);
		}
	}

	expect(leaves()).toEqual(false);
	for (let sample = 0; sample < 20; sample++) {
		holder!.timed(10_000, 1000, 0);
	}

	expect(leaves()).toEqual(true);
});

// Guards against requests that queue behind answers which hold all slots for seconds, and against slots that less urgent requests have taken.
test('an engine gets no more requests than it has slots, and fewer of a lower tier', () => {
	const counts = [0, 2].map((tier) => {
		const [only] = upstreams(1);
		const short = {
			...request(prefixLinks([{id: 'x', tokens: 100}])),
			rank: tier,
		};
		let sent = 0;
		while (place(short, [only!], 0).type === 'send') {
			sent++;
			only!.answered(only!.begin([], 0, 0), []);
		}

		return sent;
	});
	expect(counts[0]! <= slots).toEqual(true);
	expect(counts[1]! < counts[0]!).toEqual(true);
});

const fastLink = {
	bytesPerToken: 18_432,
	linkMbps: 370_000,
	keepsBackups: false,
};

// Guards against shared parts that a second engine reads again although it gets them from the first one in a fraction of the time.
test('an engine copies the shared parts that another one holds', () => {
	const all = upstreams(2, new PeerLoads(), fastLink);
	const [holder, other] = all;
	const links = prompt('subject', 'one');
	holder!.answered(holder!.begin(links, 13_000, 0), links);
	holder!.begin(prompt('busy', 'x'), 40_000, 0);
	const placed = place(request(prompt('subject', 'two')), all, 0);
	expect(placed.type === 'send' && placed.upstream === other).toEqual(true);
	expect(placed.type === 'send' && placed.donor === holder).toEqual(true);
	expect(placed.type === 'send' && placed.uncachedTokens).toEqual(1000);
});

// Guards against transfers that take longer than reading, or from engines that are down.
test('parts are read where copying does not pay', () => {
	for (const [transfer, fault] of [
		[{...fastLink, linkMbps: 1000}, 'none'],
		[undefined, 'none'],
		[fastLink, 'down'],
		[fastLink, 'silent'],
	] as const) {
		const all = upstreams(2, new PeerLoads(), transfer);
		const [holder, other] = all;
		const links = prompt('subject', 'one');
		holder!.answered(holder!.begin(links, 13_000, 0), links);
		if (fault === 'down') {
			holder!.health.block(800);
		}

		for (let count = 0; count < slots; count++) {
			const work = holder!.begin([], 0, 0);
			if (fault === 'silent') {
				holder!.answered(work, []);
			}
		}

		const placed = place(request(prompt('subject', 'two')), all, 1000);
		expect(placed.type === 'send' && placed.upstream === other).toEqual(true);
		expect(placed.type === 'send' && placed.donor).toEqual(undefined);
	}
});

// Guards against requests that follow one another into an engine that has gone dark, until each of them is given up.
test('an engine that falls silent in the middle of answers gets nothing new', () => {
	const all = upstreams(2);
	const [dark, sound] = all;
	const short = request(prefixLinks([{id: 'x', tokens: 100}]));
	for (const upstream of all) {
		upstream.answered(upstream.begin([], 0, 0), []);
		upstream.heard(1000);
	}

	for (let count = 0; count < 5; count++) {
		sound!.begin([], 2000, 1000);
	}

	const chosen = (now: number) => {
		const placed = place(short, all, now);
		return placed.type === 'send' ? placed.upstream : undefined;
	};

	expect(chosen(1100) === dark).toEqual(true);
	sound!.heard(1400);
	expect(chosen(1400) === sound).toEqual(true);
	dark!.heard(1401);
	expect(chosen(1401) === dark).toEqual(true);
	// Silence of all is the gateway's own.
	expect(chosen(5000) === dark).toEqual(true);
});

// Guards against transfers for every request: with cheap copies a prompt would leave the engine that holds it for each small difference of queues.
test('a prompt leaves the engine that holds it only for more than its copy costs', () => {
	const all = upstreams(2, new PeerLoads(), fastLink);
	const [holder, other] = all;
	const links = prompt('subject', 'one');
	holder!.answered(holder!.begin(links, 13_000, 0), links);
	const next = request(prompt('subject', 'two'));
	const chosen = () => {
		const placed = place(next, all, 0);
		return placed.type === 'send' ? placed.upstream : undefined;
	};

	holder!.begin([], 2000, 0);
	expect(chosen() === holder).toEqual(true);
	holder!.begin([], 60_000, 0);
	expect(chosen() === other).toEqual(true);
});
