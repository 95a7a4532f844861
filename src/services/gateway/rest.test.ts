import {test} from 'node:test';
import fc from 'fast-check';
import {expect} from 'earl';
import {PeerLoads} from './peer-loads.js';
import {place, type Placeable} from './placement.js';
import {Upstream} from './upstream.js';

/** Time from the decision to send until the request reaches an endpoint, in milliseconds: a connection is given up after 400. */
const longestPathMs = 400;

/** Time after a 503 from which the endpoint's rest is judged, in milliseconds. */
const toleranceMs = 500;

const request: Placeable = {
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
			pathMs: fc.nat(longestPathMs),
		}),
	},
	fc.record({
		type: fc.constant('rest' as const),
		endpoint: fc.nat(1),
		ms: fc.nat(4000),
	}),
	fc.record({type: fc.constant('pass' as const), ms: fc.nat(600)}),
);

type Rest = {
	readonly endpoint: Upstream;
	readonly from: number;
	readonly until: number;
};

// Guards against requests that reach an endpoint while it wants nothing: sends under way, overlapping and shorter rests, all at once.
test('no request reaches an endpoint in the time that it asked for', () => {
	fc.assert(
		fc.property(
			fc.array(step, {minLength: 20, maxLength: 60, size: 'max'}),
			(steps) => {
				const endpoints = [endpoint(0), endpoint(1)];
				const rests: Rest[] = [];
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

						case 'rest': {
							const resting = endpoints[each.endpoint]!;
							resting.rest(now + each.ms);
							const from = now + toleranceMs;
							rests.push({endpoint: resting, from, until: now + each.ms});
							break;
						}

						case 'pass': {
							now += each.ms;
							break;
						}
					}
				}

				const late = arrivals.filter((arrival) =>
					rests.some(
						({endpoint: resting, from, until}) =>
							resting === arrival.endpoint &&
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

// Guards against a caller that is told to come back while every endpoint still wants nothing, and one that waits in vain.
test('a request waits for a rest that ends in time and is refused with the least time otherwise', () => {
	const endpoints = [endpoint(0), endpoint(1)];
	endpoints[0]!.rest(3000);
	endpoints[1]!.rest(2000);
	expect(place(request, endpoints, 1000)).toEqual({
		type: 'refuse',
		reason: 'all endpoints rest',
		retryAfterMs: 1000,
	});
	expect(place(request, endpoints, 1950)).toEqual({type: 'wait'});
	expect(place(request, endpoints, 2000).type).toEqual('send');
});
