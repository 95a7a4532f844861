import {test} from 'node:test';
import {expect} from 'earl';
import {hash32} from '../../base/index.js';
import {EndpointSet} from './endpoint-set.js';
import {PeerLoads} from './peer-loads.js';
import {timeToRoomMs} from './placement.js';
import {RoomBook} from './room-book.js';
import type {Upstream} from './upstream.js';

const engineId = 'e';
const engine = hash32(engineId);
const promptTokens = 6000;

type Gateway = {
	readonly name: string;
	readonly loads: PeerLoads;
	readonly endpoints: EndpointSet;
	readonly upstream: Upstream;
	readonly book: RoomBook;
	tokens: number;
};

function gateways(count: number): Gateway[] {
	const all = Array.from({length: count}, (_, index) => {
		const name = `g${index}`;
		const loads = new PeerLoads();
		const endpoints = new EndpointSet(
			() => ({
				name: 's',
				maxConnections: 100,
				engine: {
					slots: 64,
					kvTokens: 500_000,
					eventTokens: 1,
					transfer: undefined,
				},
			}),
			loads,
		);
		endpoints.apply(
			{
				type: 'listed',
				version: 1,
				endpoint: {
					id: engineId,
					service: 's',
					address: '10.0.0.1:80',
					dataCentre: 'd',
					isDraining: false,
					slots: 64,
					startedAt: 1,
					warmUpMs: 0,
				},
			},
			0,
		);
		return {
			name,
			loads,
			endpoints,
			upstream: endpoints.byKey(engine)!,
			book: new RoomBook(name, endpoints, loads),
			tokens: 0,
		};
	});
	report(all, 1, 0, 0);
	return all;
}

/** Each gateway tells all others what it has in progress. */
function report(
	all: readonly Gateway[],
	sequence: number,
	settled: number,
	now: number,
): void {
	for (const {name, tokens} of all) {
		for (const {loads} of all.filter((other) => other.name !== name)) {
			loads.receive(
				{
					gateway: name,
					sequence,
					incarnation: 1,
					settled,
					loads: [{endpoint: engine, running: 1, unreadTokens: tokens}],
					reads: [],
					kept: [],
					leavers: [],
				},
				now,
			);
		}
	}
}

// Guards against an engine that many gateways see free at the same moment and fill several times over.
test('gateways that ask at the same moment fill an engine once', () => {
	const all = gateways(23);
	const keeper = all.find(
		({book, upstream}) => book.keeper(upstream, promptTokens, 0) === undefined,
	)!;
	let granted = 0;
	for (const gateway of all.filter((other) => other !== keeper)) {
		expect(gateway.book.keeper(gateway.upstream, promptTokens, 0)).toEqual(
			keeper.name,
		);
		expect(timeToRoomMs(gateway.upstream, 2, promptTokens, 0) > 0).toEqual(
			false,
		);
		const answer = keeper.book.decide(
			{
				gateway: gateway.name,
				number: 1,
				endpoint: engine,
				unreadTokens: promptTokens,
				rank: 2,
				memoryTokens: promptTokens,
			},
			0,
		);
		if (answer.type === 'granted') {
			granted += promptTokens;
			gateway.tokens = promptTokens;
		} else {
			expect(answer.type === 'denied' && answer.backlog.leftMs).toEqual(
				granted / 40,
			);
		}
	}

	// 70% of the default objective of 1200 ms at 40 tokens/ms for the highest rank: tier, half of it for tier 2, and the prompt that crosses the bound.
	expect(granted).toEqual(18_000);
	// A report that includes the request replaces its reservation.
	report(all, 2, 1, 50);
	expect(keeper.upstream.unreadTokens(50)).toEqual(granted);
});

// Guards against room that is lost for good when a gateway is granted it and goes away.
test('a reservation that no report confirms expires', () => {
	const [keeper] = gateways(2);
	keeper!.book.decide(
		{
			gateway: 'g1',
			number: 1,
			endpoint: engine,
			unreadTokens: promptTokens,
			rank: 0,
			memoryTokens: promptTokens,
		},
		0,
	);
	expect(keeper!.upstream.unreadTokens(0)).toEqual(promptTokens);
	expect(keeper!.upstream.unreadTokens(1200)).toEqual(0);
});

// Guards against a request that is asked for again and again, and against a denial that outlives the load.
test('a denial holds until there may be room', () => {
	const [gateway] = gateways(2);
	const {book, upstream} = gateway!;
	const answer = {
		type: 'denied',
		backlog: {leftMs: 960, pacedMs: 960},
	} as const;
	const isFull = (now: number) =>
		timeToRoomMs(upstream, 0, promptTokens, now) > 0;
	expect(book.heed(upstream, promptTokens, answer, 0)).toEqual(false);
	// 70% of 1200 ms are left 120 ms later.
	expect([isFull(100), isFull(130)]).toEqual([true, false]);
});

// Guards against gateways that see an engine free until its load has gone through two reports.
test('what the keeper of a book says counts for all', () => {
	const all = gateways(3);
	const keeper = all.find(
		({book, upstream}) => book.keeper(upstream, promptTokens, 0) === undefined,
	)!;
	const need = {uncachedTokens: 60_000, memoryTokens: 60_000, rank: 0};
	expect(keeper.book.take(keeper.upstream, need, 0).type).toEqual('granted');
	for (const {book, upstream, endpoints} of all) {
		expect(book.kept(0).length).toEqual(upstream === keeper.upstream ? 1 : 0);
		endpoints.noteKept(keeper.book.kept(0), 0);
		expect(timeToRoomMs(upstream, 0, promptTokens, 0)).toEqual(1500 - 840);
	}
});

// Guards against questions that get lost near capacity and then all count as room.
test('without an answer only an engine that seems idle gets a prompt', () => {
	const [gateway, other] = gateways(2);
	const {book, upstream} = gateway!;
	expect(book.heed(upstream, promptTokens, {type: 'unanswered'}, 0)).toEqual(
		true,
	);
	other!.tokens = 100;
	report([gateway!, other!], 2, 0, 0);
	expect(book.heed(upstream, promptTokens, {type: 'unanswered'}, 0)).toEqual(
		false,
	);
	expect(upstream.closedMs(20) > 0).toEqual(true);
	expect(upstream.closedMs(60) > 0).toEqual(false);
});

// Guards against small prompts that wait for an answer, and against a gateway that asks itself or gateways that are gone.
test('room is asked only for what takes time to read, of a gateway heard of lately', () => {
	const all = gateways(5);
	const asking = all.find(
		({book, upstream}) => book.keeper(upstream, promptTokens, 0) !== undefined,
	)!;
	expect(asking.book.keeper(asking.upstream, 100, 0)).toEqual(undefined);
	expect(asking.book.keeper(asking.upstream, promptTokens, 1200)).toEqual(
		undefined,
	);
});
