import {test} from 'node:test';
import {expect} from 'earl';
import {hash32, Random} from '../../base/index.js';
import {EndpointSet} from './endpoint-set.js';
import {EngineReservations} from './engine-reservations.js';
import {PeerLoads} from './peer-loads.js';
import {RateLimits} from './rate-limits.js';
import type {Upstream} from './upstream.js';

const endpointId = 'e';
const endpoint = hash32(endpointId);
const need = {uncachedTokens: 0, kvCacheTokens: 0, rank: 0};

/** Time between two steps of the simulation, and between two reports of a gateway, in milliseconds. */
const stepMs = 10;
const reportIntervalMs = 100;

const windowMs = 4000;

/** Time after which gateways know a limit, in milliseconds. */
const learningMs = 500;

/** One gateway of the simulation, which always wants to send a request to the endpoint. */
class Gateway {
	readonly loads = new PeerLoads();
	readonly rateLimits = new RateLimits();
	readonly reservations: EngineReservations;
	readonly upstream: Upstream;
	#sequence = 0;

	constructor(readonly name: string) {
		const endpoints = new EndpointSet(() => undefined, this.loads);
		endpoints.apply(
			{
				type: 'listed',
				version: 1,
				endpoint: {
					id: endpointId,
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
		this.upstream = endpoints.byKey(endpoint)!;
		this.reservations = new EngineReservations(
			name,
			endpoints,
			this.loads,
			this.rateLimits,
		);
	}

	report(others: readonly Gateway[], now: number): void {
		this.#sequence++;
		for (const {loads, rateLimits} of others) {
			loads.receive(
				{
					gateway: this.name,
					sequence: this.#sequence,
					incarnation: 1,
					settledReservation: Number.MAX_SAFE_INTEGER,
					loads: [],
					prefills: [],
					kept: [],
					leavingEndpoints: [],
				},
				now,
			);
			rateLimits.apply(this.name, this.rateLimits.notices(now), now);
		}
	}

	/** Sends a request if the owner grants it. */
	trySend(
		ownerOf: (name: string) => Gateway | undefined,
		number: number,
		now: number,
	): boolean {
		const {reservations, upstream} = this;
		if (upstream.rateLimitedMs(now) > 0) {
			return false;
		}

		const owner = reservations.owner(upstream, 0, now);
		if (owner === undefined) {
			const result = reservations.reserve(upstream, need, now);
			return result.type === 'granted'
				? true
				: reservations.applyResult(upstream, 0, result, now);
		}

		const result = ownerOf(owner)?.reservations.decide(
			{
				gateway: this.name,
				number,
				endpoint,
				unreadTokens: 0,
				rank: 0,
				kvCacheTokens: 0,
			},
			now,
		);
		return reservations.applyResult(
			upstream,
			0,
			result ?? {type: 'unanswered'},
			now,
		);
	}
}

function isOwner({reservations, upstream}: Gateway, now: number): boolean {
	return reservations.ownerOf(upstream, now) === undefined;
}

/** Times of the requests that an endpoint with a limit gets from six gateways, of which the owner ends at 8 s and its successor is not heard by half of the others from 12 to 20 s. */
function simulate(perSecond: number, seed: number): number[] {
	const random = new Random(seed);
	const sentAt: number[] = [];
	let gateways = Array.from(
		{length: 6},
		(_, index) => new Gateway(`g${index}`),
	);
	const find = (name: string) => gateways.find((other) => other.name === name);
	for (let now = 0; now < 30_000; now += stepMs) {
		if (now % reportIntervalMs === 0) {
			for (const gateway of gateways) {
				const others = gateways.filter(
					(other, index) =>
						other !== gateway &&
						random.next() > 0.2 &&
						!(
							isOwner(gateway, now) &&
							index % 2 === 0 &&
							now > 12_000 &&
							now < 20_000
						),
				);
				gateway.report(others, now);
			}
		}

		if (now === 8000) {
			gateways = gateways.filter((gateway) => !isOwner(gateway, now));
		}

		for (const gateway of random.sample(gateways, gateways.length)) {
			if (gateway.trySend(find, now, now)) {
				sentAt.push(now);
				gateway.rateLimits.observe(endpoint, 1, perSecond, now);
			}
		}
	}

	return sentAt;
}

// Guards against gateways that each use the whole limit of an endpoint, also while its owner changes and while two gateways believe that they own it.
test('a request limit holds over all gateways while its owner changes', () => {
	for (const perSecond of [0.5, 1, 3, 10, 60]) {
		for (const seed of [1, 2, 3]) {
			const sentAt = simulate(perSecond, seed).filter((at) => at > learningMs);
			const busiest = Math.max(
				...sentAt.map(
					(from) =>
						sentAt.filter((at) => at >= from && at < from + windowMs).length,
				),
			);
			expect(busiest <= (1.5 * perSecond * windowMs) / 1000 + 5).toEqual(true);
			// In 29.5 s, of which the endpoint has no owner for about one.
			expect(sentAt.length >= perSecond * 25).toEqual(true);
		}
	}
});

// Guards against a limit that stays in force after its end, and against an older observation that replaces a newer one.
test('the latest answer at any gateway decides whether there is a limit', () => {
	const [own, other] = [new RateLimits(), new RateLimits()];
	expect(own.observe(endpoint, 1, undefined, 0)).toEqual(false);
	expect(own.observe(endpoint, 1, 5, 100)).toEqual(true);
	expect(own.observe(endpoint, 1, 5, 200)).toEqual(false);
	expect(other.apply('own', own.notices(250), 250)).toEqual([endpoint]);
	expect(other.perSecond(endpoint)).toEqual(5);
	expect(other.observe(endpoint, 1, undefined, 300)).toEqual(true);
	expect(other.apply('own', own.notices(400), 400)).toEqual([]);
	expect(other.perSecond(endpoint)).toEqual(undefined);
	expect(own.apply('other', other.notices(400), 400)).toEqual([endpoint]);
	expect(own.perSecond(endpoint)).toEqual(undefined);
	expect(own.take(endpoint, undefined, 400)).toEqual(0);
});

// Guards against the limit of a process that is applied to its successor, and against a notice of the process before.
test('a limit holds for one incarnation of an endpoint', () => {
	const limits = new RateLimits();
	limits.observe(endpoint, 5, 1, 0);
	expect(limits.observe(endpoint, 4, 9, 10)).toEqual(false);
	expect(limits.perSecond(endpoint)).toEqual(1);
	limits.observe(endpoint, 6, undefined, 20);
	expect(limits.perSecond(endpoint)).toEqual(undefined);
});

// Guards against an endpoint that is never used again because it named a limit of 0, as only its answers show that the limit has ended.
test('an endpoint that takes no requests gets one from time to time', () => {
	const limits = new RateLimits();
	limits.observe(endpoint, 1, 0, 0);
	expect(limits.take(endpoint, undefined, 0) > 1000).toEqual(true);
	expect(limits.take(endpoint, undefined, 10_001)).toEqual(0);
	expect(limits.take(endpoint, undefined, 10_002) > 1000).toEqual(true);
});
