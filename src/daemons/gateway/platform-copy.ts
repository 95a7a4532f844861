import {DisposableStore, Emitter, type Disposable} from '../../base/index.js';
import type {
	ConfigurationChange,
	EndpointChange,
	WatchedTable,
} from '../../interfaces/index.js';
import {
	Confirmation,
	ConfigurationCopy,
	EndpointSet,
	missingEntryDeadline,
	restoredEntryDeadline,
	revalidate,
	type Clocks,
	type CopyFreshness,
	type Outage,
	type PeerLoads,
	type RoutingTable,
} from '../../services/gateway/index.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
import {readClocks} from './clocks.js';
import {FirstConfiguration} from './first-configuration.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import {TableWatch, type TableWatchOptions} from './table-watch.js';
import {UnreadableRows} from './unreadable-rows.js';

/** Long-poll time of the configuration feed, in milliseconds; also the interval at which the copy is confirmed. */
const configurationWaitMs = 1000;
/** The same while other gateways revalidate their copies with this one. It is shorter because those copies are older by the interval between two requests. */
const sharedConfigurationWaitMs = 400;

/** Pause between two reads of the endpoint feed, in milliseconds; a leaving endpoint must be known well within 2 s. */
const endpointPollPauseMs = 700;

/** Age that is stated to other gateways for a copy that has not been confirmed, in milliseconds. */
const unconfirmedAgeMs = 86_400_000;

export type PlatformCopyOptions = {
	readonly configuration: WatchedTable<ConfigurationChange>;
	readonly endpoints: WatchedTable<EndpointChange>;
	readonly loads: PeerLoads;
	readonly metrics: () => GatewayMetrics;
	/** Returns the other gateways, which may confirm that the copies are current. */
	readonly freshnessSource: () => FreshnessSource;
	/** Time after which a removed endpoint must get no more requests, in milliseconds. */
	readonly drainMs: () => number;
	readonly log: Log;
};

/** The other gateways as a source of confirmations that the copies are current. */
export type FreshnessSource = {
	/** Other gateways revalidate their copies with this one. */
	readonly hasFollowers: boolean;
	/** Requests a confirmation from another gateway; resolves to undefined when this gateway must read the store itself. */
	requestFreshness(): Promise<CopyFreshness | undefined>;
	/** Requests the versions of the configuration in force at other gateways; resolves to the highest one, or to undefined when there is none. */
	requestNewestConfiguration(): Promise<number | undefined>;
};

/** Local copies of the operator's configuration and of the endpoint list, kept up to date from the platform's store. */
export class PlatformCopy implements Disposable {
	readonly endpoints: EndpointSet;
	readonly #options: PlatformCopyOptions;
	readonly #store = new DisposableStore();
	readonly #configurationConfirmation = new Confirmation();
	readonly #endpointsConfirmation = new Confirmation();
	readonly #unreadableEndpoints: UnreadableRows;
	readonly #unreadableConfiguration: UnreadableRows;
	readonly #onDidChangeRouting = this.#store.add(new Emitter<RoutingTable>());
	readonly #configuration = new ConfigurationCopy();
	/** Eras of the store that the copies belong to; undefined until the table has been read. */
	#configurationEra: number | undefined;
	#endpointsEra: number | undefined;
	/** Last time without contact to the endpoint table. */
	#endpointsOutage: Outage = {
		endedAt: Number.NEGATIVE_INFINITY,
		durationMs: 0,
	};

	/** It has been logged that the store holds an older configuration than the one in force. */
	#hasLoggedAwaited = false;
	readonly #firstConfiguration: FirstConfiguration;

	constructor(options: PlatformCopyOptions) {
		this.#options = options;
		const {log} = options;
		this.#unreadableEndpoints = new UnreadableRows(
			log,
			'endpoint_unreadable',
			'endpoint',
		);
		this.#unreadableConfiguration = new UnreadableRows(
			log,
			'configuration_unreadable',
			'row',
		);
		this.endpoints = new EndpointSet(
			(name) => this.routing?.service(name),
			options.loads,
		);
		this.#firstConfiguration = new FirstConfiguration({
			requestNewest: async () =>
				options.freshnessSource().requestNewestConfiguration(),
			log,
		});
		this.#logEndpoints();
	}

	/** Fires when another configuration has come into force. */
	readonly onDidChangeRouting = this.#onDidChangeRouting.event;

	/** Configuration in force; undefined until one has been read. */
	get routing(): RoutingTable | undefined {
		return this.#configuration.routing;
	}

	/** Whether the configuration in force may decide on requests. */
	get isCompared(): boolean {
		return this.#firstConfiguration.isCompared;
	}

	/** Both tables have been read. */
	get isComplete(): boolean {
		return this.routing !== undefined && this.#endpointsEra !== undefined;
	}

	/** Time since the configuration was last known to be current, in milliseconds. */
	get ageMs(): number {
		return this.#configurationConfirmation.ageMs(readClocks());
	}

	/** Time since the list of endpoints was last known to be current, in milliseconds. */
	get endpointsAgeMs(): number {
		return this.#endpointsConfirmation.ageMs(readClocks());
	}

	/** Era of the store from which the configuration was read. */
	get era(): number | undefined {
		return this.#configurationEra;
	}

	/** Versions and ages of the copies, with which other gateways revalidate theirs; undefined until both tables have been read. Copies of different eras confirm nothing. */
	proof(): CopyFreshness | undefined {
		const {routing} = this;
		const era = this.#configurationEra;
		if (!routing || era === undefined || this.#endpointsEra === undefined) {
			return undefined;
		}

		const isOfOneEra = this.#endpointsEra === era;
		const statedAgeMs = (ageMs: number) =>
			isOfOneEra ? Math.min(ageMs, unconfirmedAgeMs) : unconfirmedAgeMs;
		return {
			era,
			configurationVersion: routing.configuration.version,
			configurationAgeMs: statedAgeMs(this.ageMs),
			endpointsDigest: this.endpoints.digest(),
			endpointsAgeMs: statedAgeMs(
				this.#endpointsConfirmation.ageMs(readClocks()),
			),
		};
	}

	start(): void {
		this.#watch('configuration', {
			table: this.#options.configuration,
			waitMs: () =>
				this.#options.freshnessSource().hasFollowers
					? sharedConfigurationWaitMs
					: configurationWaitMs,
			revalidate: async () => {
				const freshness = await this.#options
					.freshnessSource()
					.requestFreshness();
				const version = this.routing?.configuration.version;
				const isEqual = freshness?.configurationVersion === version;
				return (
					freshness &&
					revalidate(
						{era: this.#configurationEra!, isEqual},
						{era: freshness.era, ageMs: freshness.configurationAgeMs},
					)
				);
			},
			pauseMs: 0,
			onList: ({changes, position}) => {
				const before = this.#configurationEra;
				this.#configurationEra = position.era;
				if (before !== undefined && before !== position.era) {
					this.#configuration.restored(position.version, monotonicNow());
					this.#options.metrics().eraChanged();
					const {era} = position;
					this.#options.log.warn('store_era_changed', {era, before});
				}

				this.#unreadableConfiguration.replace(
					changes.filter((change) => change.type === 'unreadable'),
				);
				for (const change of changes) {
					this.#onConfiguration(change);
				}
			},
			onChange: (change) => {
				this.#onConfiguration(change);
			},
			onConfirmed: (sentAt) => {
				void this.#confirmConfiguration(sentAt);
			},
			onReachabilityChange: () => undefined,
		});
		this.#watch('endpoints', {
			table: this.#options.endpoints,
			waitMs: () => 0,
			revalidate: async () => {
				const freshness = await this.#options
					.freshnessSource()
					.requestFreshness();
				const isEqual = freshness?.endpointsDigest === this.endpoints.digest();
				return (
					freshness &&
					revalidate(
						{era: this.#endpointsEra!, isEqual},
						{era: freshness.era, ageMs: freshness.endpointsAgeMs},
					)
				);
			},
			pauseMs: endpointPollPauseMs,
			onList: ({changes, position: {era, version}}) => {
				this.#unreadableEndpoints.replace(
					changes.filter((change) => change.type === 'unreadable'),
				);
				const before = this.#endpointsEra;
				this.#endpointsEra = era;
				const isRestored = before !== undefined && before !== era;
				if (isRestored) {
					this.endpoints.restored(version);
				}

				const now = monotonicNow();
				this.endpoints.replace(
					changes,
					now,
					isRestored
						? restoredEntryDeadline(now)
						: missingEntryDeadline(
								this.#endpointsOutage,
								this.#options.drainMs(),
							),
				);
			},
			onChange: (change) => {
				if (change.type === 'unreadable') {
					this.#unreadableEndpoints.add(change);
				}

				this.endpoints.apply(change, monotonicNow());
			},
			onConfirmed: (sentAt) => {
				confirmIfLater(this.#endpointsConfirmation, sentAt);
			},
			onReachabilityChange: (reason) => {
				if (reason === undefined) {
					this.#endpointsOutage = {
						endedAt: monotonicNow(),
						durationMs: this.#endpointsConfirmation.ageMs(readClocks()),
					};
				}
			},
		});
	}

	dispose(): void {
		this.#store.dispose();
	}

	/** Watches one table, counts its calls, and logs when the store becomes unreachable or reachable again. */
	#watch<Change>(
		table: string,
		options: Omit<TableWatchOptions<Change>, 'onFailure'>,
	): void {
		const {log, metrics} = this.#options;
		const watch = this.#store.add(
			new TableWatch<Change>({
				...options,
				onConfirmed(sentAt) {
					metrics().storeCall(table, 'answered');
					options.onConfirmed(sentAt);
				},
				onFailure() {
					metrics().storeCall(table, 'failed');
				},
				onReachabilityChange: (reason) => {
					options.onReachabilityChange(reason);
					if (reason === undefined) {
						log.info('store_regained', {table});
					} else {
						const configuration_age_ms = Math.round(this.ageMs);
						log.warn('store_lost', {table, reason, configuration_age_ms});
					}
				},
			}),
		);
		watch.start();
	}

	async #confirmConfiguration(sentAt: Clocks): Promise<void> {
		if (
			this.#configuration.isRecovered(monotonicNow()) &&
			(await this.#firstConfiguration.compare(
				() => this.routing?.configuration.version,
			))
		) {
			confirmIfLater(this.#configurationConfirmation, sentAt);
		}
	}

	#onConfiguration(change: ConfigurationChange): void {
		switch (change.type) {
			case 'unreadable': {
				this.#unreadableConfiguration.add(change);
				break;
			}

			case 'configuration': {
				this.#offerConfiguration(change);
				break;
			}
		}
	}

	#offerConfiguration({
		configuration,
		writtenAt,
	}: Extract<ConfigurationChange, {type: 'configuration'}>): void {
		const {log} = this.#options;
		const {version} = configuration;
		const before = this.routing?.configuration.version ?? -1;
		const decision = this.#configuration.offer(configuration, writtenAt);
		switch (decision) {
			case 'applied': {
				this.#onDidChangeRouting.fire(this.routing!);
				log.info('configuration', {
					version,
					before,
					routes: configuration.routes.length,
					workspaces: configuration.workspaces?.length ?? '',
				});
				break;
			}

			case 'awaited': {
				if (!this.#hasLoggedAwaited) {
					log.warn('configuration_awaited', {stored: version, kept: before});
				}

				break;
			}

			case 'known': {
				break;
			}
		}

		this.#hasLoggedAwaited = decision === 'awaited';
	}

	#logEndpoints(): void {
		const {log} = this.#options;
		this.endpoints.onDidAdd((upstream) => {
			log.info('endpoint_added', {
				endpoint: upstream.id,
				service: upstream.listed.service,
				address: upstream.listed.address,
			});
		});
		this.endpoints.onDidDrain((upstream) => {
			log.info('endpoint_draining', {endpoint: upstream.id});
		});
		this.endpoints.onDidRemove(({upstream, why}) => {
			log.info('endpoint_left', {endpoint: upstream.id, why});
		});
	}
}

/** Confirms a copy as of `sentAt` unless it was confirmed later: another gateway's confirmation may be older than the last known one. */
function confirmIfLater(confirmation: Confirmation, sentAt: Clocks): void {
	const now = readClocks();
	const candidate = new Confirmation();
	candidate.confirm(sentAt);
	if (candidate.ageMs(now) < confirmation.ageMs(now)) {
		confirmation.confirm(sentAt);
	}
}
