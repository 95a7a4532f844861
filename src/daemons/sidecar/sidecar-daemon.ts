import {randomUUID} from 'node:crypto';
import {Agent} from 'undici';
import {
	DisposableStore,
	hash32,
	Random,
	type Disposable,
} from '../../base/index.js';
import {HttpEngine, HttpService} from '../../platform/adapters/index.js';
import {
	callTable,
	helloSchema,
	type Endpoint,
	type Execution,
	type Hello,
	type InstanceList,
	type Settings,
	type Table,
} from '../../platform/index.js';
import {
	Catalogue,
	Scheduler,
	Sidecar,
	type SidecarEffect,
	type SidecarMessage,
} from '../../services/index.js';
import {AdminServer} from '../admin/index.js';
import {ConfigPoller} from '../config-poller.js';
import {
	LinkServer,
	receiveFromEntry,
	SidecarSender,
	type Link,
} from '../link/index.js';
import {logEvent} from '../log.js';
import {Metrics} from '../metrics.js';
import {monotonicNow, Task} from '../task.js';

const loadIntervalMs = 500;

export type SidecarDaemonOptions = {
	readonly settings: Settings;
	readonly table: Table;
	readonly instances: InstanceList;
	readonly seed: number;
};

/** The process beside one endpoint: owns the links from entries and the calls at the endpoint. */
export class SidecarDaemon implements Disposable {
	readonly #options: SidecarDaemonOptions;
	readonly #store = new DisposableStore();
	readonly #incarnation = randomUUID();
	readonly #catalogue = new Catalogue();
	readonly #metrics = new Metrics();
	readonly #server: LinkServer;
	readonly #admin: AdminServer;
	readonly #poller: ConfigPoller;
	readonly #endpoint: Endpoint;
	readonly #senders = new Map<string, SidecarSender>();
	readonly #executions = new Map<string, Execution>();
	readonly #task: Task<SidecarMessage, SidecarEffect>;
	readonly #drained: Promise<void>;
	#resolveDrained: () => void = () => undefined;
	#linkCount = 0;
	#lastCacheEvent = 0;
	#leaving = false;

	constructor(options: SidecarDaemonOptions) {
		this.#options = options;
		const {endpoint, peers} = options.settings;
		const pool = new Agent();
		this.#endpoint =
			endpoint!.type === 'engine'
				? new HttpEngine(endpoint!.url, pool)
				: new HttpService(endpoint!.url, pool);
		this.#drained = new Promise((resolve) => {
			this.#resolveDrained = resolve;
		});
		this.#task = this.#store.add(
			new Task(
				new Sidecar({
					endpoint: options.settings.process.instance,
					epochMs: Date.now() - monotonicNow(),
					incarnation: this.#incarnation,
					scheduler: new Scheduler(new Random(hash32(this.#incarnation))),
					random: new Random(hash32(`${this.#incarnation} sweep`)),
				}),
				(effect) => {
					this.#carryOut(effect);
				},
			),
		);
		this.#server = this.#store.add(
			new LinkServer(
				[peers.key, peers.previous_key].filter((key) => key !== undefined),
			),
		);
		this.#server.onDidAccept((link) => {
			this.#onLink(link);
		});
		this.#poller = this.#store.add(
			new ConfigPoller({
				table: options.table,
				instances: options.instances,
				catalogue: this.#catalogue,
				onDidRead: () => {
					this.#onRecords();
				},
			}),
		);
		this.#admin = this.#store.add(
			new AdminServer({
				dump: () => this.dump(),
				isReady: () => !this.#leaving,
				drain: () => {
					void this.drain();
				},
			}),
		);
		this.#store.add(this.#pollEndpoint());
	}

	/** Opens the admin and peer addresses; rejects when one cannot be used. Resolves to the peer port. */
	async start(): Promise<number> {
		const {addresses, process} = this.#options.settings;
		await this.#poller.read();
		await this.#admin.listen(addresses.admin);
		const port = await this.#server.listen(addresses.peer!);
		logEvent('sidecar_started', {instance: process.instance, port});
		return port;
	}

	/** Takes no new work; resolves when the last attempt in progress has ended. */
	async drain(): Promise<void> {
		if (!this.#leaving) {
			this.#leaving = true;
			logEvent('sidecar_draining', {running: this.#executions.size});
			this.#task.post({type: 'leave'});
		}

		return this.#drained;
	}

	dump(): unknown {
		return {
			instance: this.#options.settings.process.instance,
			sidecar: this.#task.dump(),
			metrics: this.#metrics.dump(),
		};
	}

	dispose(): void {
		this.#store.dispose();
	}

	#onLink(link: Link): void {
		const id = `link-${++this.#linkCount}`;
		this.#senders.set(id, new SidecarSender(link));
		link.on('hello', (parameters): Hello => {
			helloSchema.parse(parameters);
			const {process} = this.#options.settings;
			return {
				instance: process.instance,
				role: 'sidecar',
				incarnation: this.#incarnation,
				dataCentre: process.data_centre,
				revision: 0,
			};
		});
		receiveFromEntry(link, (message) => {
			this.#task.post({type: 'peer', link: id, message});
		});
		link.onDidClose(() => {
			this.#senders.delete(id);
			this.#task.post({type: 'linkLost', link: id});
		});
	}

	#onRecords(): void {
		const {instance} = this.#options.settings.process;
		this.#task.post({
			type: 'targets',
			targets: this.#catalogue.targetsOf(instance),
		});
	}

	#carryOut(effect: SidecarEffect): void {
		switch (effect.type) {
			case 'send': {
				this.#senders.get(effect.link)?.send(effect.message);
				break;
			}

			case 'run': {
				this.#run(effect);
				break;
			}

			case 'stopRun': {
				this.#executions.get(effect.attempt)?.cancel();
				this.#executions.delete(effect.attempt);
				break;
			}

			case 'pauseRun': {
				this.#executions.get(effect.attempt)?.pause();
				break;
			}

			case 'resumeRun': {
				this.#executions.get(effect.attempt)?.resume();
				break;
			}

			case 'count': {
				this.#metrics.count(effect.name, effect.value, effect.tags);
				break;
			}

			case 'timing': {
				break;
			}

			case 'log': {
				logEvent(effect.event, effect.fields);
				break;
			}

			case 'table': {
				void this.#callTable(effect);
				break;
			}

			case 'drained': {
				this.#resolveDrained();
				break;
			}
		}
	}

	#run(effect: Extract<SidecarEffect, {type: 'run'}>): void {
		const {attempt} = effect;
		const execution = this.#endpoint.run(effect.call, effect, (event) => {
			if (event.type === 'end' || event.type === 'error') {
				this.#executions.delete(attempt);
			}

			this.#task.post({type: 'endpoint', attempt, event});
		});
		this.#executions.set(attempt, execution);
	}

	async #callTable(
		effect: Extract<SidecarEffect, {type: 'table'}>,
	): Promise<void> {
		const answer = await callTable(this.#options.table, effect.call);
		this.#task.post({type: 'table', id: effect.id, answer});
	}

	#pollEndpoint(): Disposable {
		const timer = setInterval(() => {
			void this.#readEndpoint();
		}, loadIntervalMs);
		return {
			dispose() {
				clearInterval(timer);
			},
		};
	}

	/** Reads load and cache events; an endpoint that does not answer is seen through its failed calls. */
	async #readEndpoint(): Promise<void> {
		try {
			const report = await this.#endpoint.load();
			this.#task.post({type: 'load', report});
			const events = await this.#endpoint.cacheEvents(this.#lastCacheEvent);
			this.#lastCacheEvent = events.at(-1)?.number ?? this.#lastCacheEvent;
			this.#task.post({type: 'cache', events});
		} catch {
			this.#metrics.count('endpoint_poll_failures', 1);
		}
	}
}
