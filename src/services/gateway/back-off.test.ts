import {test} from 'node:test';
import fc from 'fast-check';
import {expect} from 'earl';
import {PeerLoads} from './peer-loads.js';
import {place, type PlacementRequest} from './placement.js';
import {Upstream} from './upstream.js';

/** Maximum time from the decision to send until the request reaches an endpoint, in milliseconds: connecting times out after 400. */
const maxTransitMs = 400;

/** Time after a 503 from which no request may arrive until its Retry-After has passed, in milliseconds. */
const toleranceMs = 500;

const request: PlacementRequest = {
	prompt: undefined,
	links: [],
	waitedMs: 0,
	tried: new Set(),
	isOnce: false,
	dataCentre: 'd',
	objectiveMs: 100,
	rank: 0,
};

function endpoint(index: number): Upstream {
	return new Upstream(
		{
			id: `e${index}`,
			service: 's',
			address: `10.0.0.${index}:80`,
			dataCentre: 'd',
			isDraining: false,
			slots: 100,
			startedAt: 1,
			warmUpMs: 0,
		},
		0,
		undefined,
		new PeerLoads(),
	);
}

const step = fc.oneof(
	{
		weight: 4,
		arbitrary: fc.record({
			type: fc.constant('send' as const),
			pathMs: fc.nat(maxTransitMs),
		}),
	},
	fc.record({
		type: fc.constant('back off' as const),
		endpoint: fc.nat(1),
		ms: fc.nat(4000),
	}),
	fc.record({type: fc.constant('pass' as const), ms: fc.nat(600)}),
);

type BackOff = {
	readonly endpoint: Upstream;
	readonly from: number;
	readonly until: number;
};

// Guards against requests that reach an endpoint before its Retry-After has passed: sends under way, overlapping and shorter back-offs, in any order.
test('no request reaches an endpoint before its Retry-After has passed', () => {
	fc.assert(
		fc.property(
			fc.array(step, {minLength: 20, maxLength: 60, size: 'max'}),
			(steps) => {
				const endpoints = [endpoint(0), endpoint(1)];
				const backOffs: BackOff[] = [];
				const arrivals: Array<{endpoint: Upstream; at: number}> = [];
				let now = 1000;
				for (const each of steps) {
					switch (each.type) {
						case 'send': {
							const assignment = place(request, endpoints, now);
							if (assignment.type === 'send') {
								const {upstream} = assignment;
								arrivals.push({endpoint: upstream, at: now + each.pathMs});
							}

							break;
						}

						case 'back off': {
							const upstream = endpoints[each.endpoint]!;
							upstream.backOff(now + each.ms);
							const from = now + toleranceMs;
							backOffs.push({endpoint: upstream, from, until: now + each.ms});
							break;
						}

						case 'pass': {
							now += each.ms;
							break;
						}
					}
				}

				const late = arrivals.filter((arrival) =>
					backOffs.some(
						({endpoint: upstream, from, until}) =>
							upstream === arrival.endpoint &&
							arrival.at > from &&
							arrival.at < until,
					),
				);
				expect(late).toEqual([]);
			},
		),
		{seed: 20_261_204, numRuns: 1000},
	);
});

// Guards against a Retry-After to the caller that ends while every endpoint still backs off, and against a request that waits in vain.
test('a request waits for a back-off that ends in time and is refused with the shortest remaining time otherwise', () => {
	const endpoints = [endpoint(0), endpoint(1)];
	endpoints[0]!.backOff(3000);
	endpoints[1]!.backOff(2000);
	expect(place(request, endpoints, 1000)).toEqual({
		type: 'refuse',
		reason: 'all endpoints rest',
		retryAfterMs: 1000,
	});
	expect(place(request, endpoints, 1950)).toEqual({type: 'wait'});
	expect(place(request, endpoints, 2000).type).toEqual('send');
});
