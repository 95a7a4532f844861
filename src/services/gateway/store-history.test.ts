import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {expect} from 'earl';
import type {
	Configuration,
	EndpointChange,
	ListedEndpoint,
} from '../../interfaces/index.js';
import {ConfigurationCopy} from './configuration-copy.js';
import {EndpointSet} from './endpoint-set.js';
import {restoredEntryDeadline} from './missing-entries.js';
import {PeerLoads} from './peer-loads.js';

const endpointCount = 3;

type Row = {readonly endpoint: ListedEndpoint; readonly version: number};

type StoreContent = {
	readonly rows: ReadonlyMap<string, Row>;
	readonly configuration: Configuration;
	readonly configurationAt: number;
	readonly version: number;
};

function configuration(version: number): Configuration {
	return {
		version,
		routes: [],
		services: [],
		workspaces: [{name: 'w', keys: [`k${version}`], tier: undefined}],
		limits: {
			maxHeaderBytes: 1,
			maxBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
	};
}

/** Store with one configuration and the entries of some endpoints, which can be restored from a backup. */
class Store {
	era = 0;
	#backup: StoreContent;
	#content: StoreContent = {
		rows: new Map(),
		configuration: configuration(1),
		configurationAt: 1,
		version: 1,
	};

	constructor() {
		this.#backup = this.#content;
	}

	get content(): StoreContent {
		return this.#content;
	}

	write(id: string, endpoint: ListedEndpoint | undefined): void {
		const version = this.#content.version + 1;
		const rows = new Map(this.#content.rows);
		if (endpoint) {
			rows.set(id, {endpoint, version});
		} else {
			rows.delete(id);
		}

		this.#content = {...this.#content, rows, version};
	}

	configure(next: number): void {
		const version = this.#content.version + 1;
		this.#content = {
			...this.#content,
			configuration: configuration(next),
			configurationAt: version,
			version,
		};
	}

	save(): void {
		this.#backup = this.#content;
	}

	restore(): void {
		this.#content = this.#backup;
		this.era++;
	}
}

/** One gateway's local copies of the store's tables. */
class GatewayCopies {
	readonly endpoints = new EndpointSet(() => undefined, new PeerLoads());
	readonly configuration = new ConfigurationCopy();
	#era: number | undefined;

	read({era, content}: Store, now: number): void {
		const {rows, configuration, configurationAt, version} = content;
		const isRestored = this.#era !== undefined && this.#era !== era;
		this.#era = era;
		if (isRestored) {
			this.endpoints.restored(version);
			this.configuration.restored(version, now);
		}

		const changes = [...rows.values()].map(
			({endpoint, version}): EndpointChange => ({
				type: 'listed',
				endpoint,
				version,
			}),
		);
		this.endpoints.replace(
			changes,
			now,
			isRestored ? restoredEntryDeadline(now) : now,
		);
		this.configuration.offer(configuration, configurationAt);
	}

	serving(now: number): ListedEndpoint[] {
		return this.endpoints.serving('s', now).map(({listed}) => listed);
	}
}

const event = fc.record({
	type: fc.constantFrom(
		'read',
		'read',
		'renew',
		'leave',
		'end',
		'start',
		'configure',
		'save',
		'restore',
		'restart',
	),
	gateway: fc.nat(1),
	endpoint: fc.nat(endpointCount - 1),
	ms: fc.nat(300),
});

type Incarnation = {startedAt: number; state: 'up' | 'leaving' | 'ended'};

function toEntry(
	index: number,
	{startedAt, state}: Incarnation,
): ListedEndpoint {
	return {
		id: `e${index}`,
		service: 's',
		address: `10.0.0.${index}:80`,
		dataCentre: 'd',
		isDraining: state === 'leaving',
		slots: 4,
		startedAt,
		warmUpMs: 0,
	};
}

// Guards against removed endpoints, revoked keys and old routes that come back when the store is restored from an older backup, in any order of events and for gateways that read the change at different times.
test('a restore from an older backup brings back nothing that a gateway knows to have ended', () => {
	fc.assert(
		fc.property(
			fc.array(event, {minLength: 30, maxLength: 60, size: 'max'}),
			(events) => {
				const store = new Store();
				const gateways = [new GatewayCopies(), new GatewayCopies()];
				const incarnations: Incarnation[] = Array.from(
					{length: endpointCount},
					() => ({
						startedAt: 1,
						state: 'up',
					}),
				);
				/** Incarnations that each gateway has read as leaving or removed, by the index of the gateway. */
				const ended = [new Set<string>(), new Set<string>()];
				const newest = [0, 0];
				let latest = 1;
				let now = 0;
				for (const [id, incarnation] of incarnations.entries()) {
					store.write(`e${id}`, toEntry(id, incarnation));
				}

				store.save();
				for (const {type, gateway, endpoint, ms} of events) {
					now += ms;
					const incarnation = incarnations[endpoint]!;
					const id = `e${endpoint}`;
					switch (type) {
						case 'read': {
							const copies = gateways[gateway]!;
							const before = copies.serving(now);
							copies.read(store, now);
							const after = new Set(
								copies
									.serving(now)
									.map(({id, startedAt}) => `${id}/${startedAt}`),
							);
							for (const {id, startedAt} of before) {
								if (!after.has(`${id}/${startedAt}`)) {
									ended[gateway]!.add(`${id}/${startedAt}`);
								}
							}

							const back = [...after].filter((each) =>
								ended[gateway]!.has(each),
							);
							const alive = new Set(
								incarnations.map(
									({startedAt, state}, index) =>
										state === 'up' && `e${index}/${startedAt}`,
								),
							);
							expect(back.filter((each) => !alive.has(each))).toEqual([]);
							const {version} = copies.configuration.routing!.configuration;
							expect(version >= newest[gateway]!).toEqual(true);
							newest[gateway] = version;
							break;
						}

						case 'renew': {
							if (incarnation.state !== 'ended') {
								store.write(id, toEntry(endpoint, incarnation));
							}

							break;
						}

						case 'leave': {
							if (incarnation.state === 'up') {
								incarnation.state = 'leaving';
								store.write(id, toEntry(endpoint, incarnation));
							}

							break;
						}

						case 'end': {
							incarnation.state = 'ended';
							store.write(id, undefined);
							break;
						}

						case 'start': {
							if (incarnation.state === 'ended') {
								incarnation.state = 'up';
								incarnation.startedAt++;
								store.write(id, toEntry(endpoint, incarnation));
							}

							break;
						}

						case 'configure': {
							latest++;
							store.configure(latest);
							break;
						}

						case 'save': {
							store.save();
							break;
						}

						case 'restore': {
							store.restore();
							break;
						}

						case 'restart': {
							gateways[gateway] = new GatewayCopies();
							ended[gateway]!.clear();
							newest[gateway] = 0;
							break;
						}
					}
				}
			},
		),
		{
			seed: 20_261_204,
			numRuns: Number(process.env.STORE_HISTORY_RUNS ?? 400),
		},
	);
});
