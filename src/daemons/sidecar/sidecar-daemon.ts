import {Agent} from 'undici';
import {
	DisposableStore,
	hash32,
	Random,
	type Disposable,
} from '../../base/index.js';
import {HttpEngine, HttpService} from '../../interfaces/adapters/index.js';
import type {Endpoint, Execution} from '../../interfaces/index.js';
import {
	Scheduler,
	Sidecar,
	type SidecarEffect,
	type SidecarMessage,
} from '../../services/index.js';
import {DaemonCore, type DaemonOptions} from '../daemon-core.js';
import {
	receiveFromEntry,
	SidecarSender,
	type AcceptedLink,
} from '../link/index.js';
import {monotonicNow, StateMachineRunner} from '../state-machine.js';

const pollIntervalMs = 500;
const gaugeIntervalMs = 1000;

/** The sidecar process of one endpoint: owns the links from entries and the calls to the endpoint. */
export class SidecarDaemon implements Disposable {
	readonly #options: DaemonOptions;
	readonly #store = new DisposableStore();
	readonly #core: DaemonCore;
	readonly #endpoint: Endpoint;
	readonly #senders = new Map<string, SidecarSender>();
	readonly #executions = new Map<string, Execution>();
	readonly #runner: StateMachineRunner<SidecarMessage, SidecarEffect>;
	#linkCount = 0;
	#lastCacheEventNumber = 0;

	constructor(options: DaemonOptions) {
		this.#options = options;
		const {endpoint} = options.settings;
		const pool = new Agent();
		this.#endpoint =
			endpoint!.type === 'engine'
				? new HttpEngine(endpoint!.url, pool)
				: new HttpService(endpoint!.url, pool);
		this.#core = this.#store.add(
			new DaemonCore(options, {
				dump: () => ({
					sidecar: this.#runner.dump(),
					links: this.#senders.size,
					executions: this.#executions.size,
				}),
				onDidChange: () => {
					this.#onRecords();
				},
				onDidAccept: (accepted) => {
					this.#onLink(accepted);
				},
				leave: () => {
					this.#runner.post({type: 'leave'});
				},
				onTableAnswer: (id, answer) => {
					this.#runner.post({type: 'table', id, answer});
				},
			}),
		);
		this.#runner = this.#store.add(
			new StateMachineRunner(
				new Sidecar({
					endpoint: options.settings.process.instance,
					epochMs: Date.now() - monotonicNow(),
					incarnation: this.#core.incarnation,
					scheduler: new Scheduler(new Random(hash32(this.#core.incarnation))),
					random: new Random(hash32(`${this.#core.incarnation} sweep`)),
				}),
				(effect) => {
					this.#applyEffect(effect);
				},
			),
		);
		this.#store.add(
			this.#core.repeat(pollIntervalMs, () => {
				void this.#pollEndpoint();
			}),
		);
		this.#store.add(
			this.#core.repeat(gaugeIntervalMs, () => {
				this.#reportGauges();
			}),
		);
	}

	/** Listens on the admin and peer addresses and resolves to the peer port; rejects when an address cannot be used. */
	async start(): Promise<number> {
		const port = await this.#core.start();
		this.#core.log.info('started', {port});
		return port;
	}

	/** Stops accepting new work; resolves when the last attempt has ended and its entry has been informed. */
	async drain(): Promise<void> {
		await this.#core.drain();
	}

	dispose(): void {
		this.#store.dispose();
	}

	#onLink({link, peer}: AcceptedLink): void {
		const id = `link-${++this.#linkCount}`;
		this.#senders.set(id, new SidecarSender(link));
		receiveFromEntry(link, (message) => {
			this.#runner.post({type: 'peer', link: id, message});
		});
		link.onDidReject((reason) => {
			this.#core.metrics.count('peer_errors', 1);
			this.#core.log.warn('peer_error', {peer: peer.instance, reason});
		});
		link.onDidClose(() => {
			this.#senders.delete(id);
			this.#core.metrics.count('links_closed', 1);
			this.#runner.post({type: 'linkLost', link: id});
		});
	}

	#onRecords(): void {
		const {instance} = this.#options.settings.process;
		this.#runner.post({
			type: 'targets',
			targets: this.#core.catalogue.targetsOf(instance),
		});
	}

	#applyEffect(effect: SidecarEffect): void {
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
				this.#core.metrics.count('runs_paused', 1);
				this.#executions.get(effect.attempt)?.pause();
				break;
			}

			case 'resumeRun': {
				this.#executions.get(effect.attempt)?.resume();
				break;
			}

			case 'count':
			case 'timing':
			case 'log':
			case 'table':
			case 'drained': {
				this.#core.applyEffect(effect);
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

			this.#runner.post({type: 'endpoint', attempt, event});
		});
		this.#executions.set(attempt, execution);
	}

	/** Polls load and cache events. A failed poll is only counted: an endpoint that is down shows in its failed calls. */
	async #pollEndpoint(): Promise<void> {
		try {
			const report = await this.#endpoint.load();
			this.#runner.post({type: 'load', report});
			const events = await this.#endpoint.cacheEvents(
				this.#lastCacheEventNumber,
			);
			this.#lastCacheEventNumber =
				events.at(-1)?.number ?? this.#lastCacheEventNumber;
			this.#runner.post({type: 'cache', events});
		} catch {
			this.#core.metrics.count('endpoint_poll_failures', 1);
		}
	}

	#reportGauges(): void {
		this.#core.metrics.gauge('runs_in_progress', this.#executions.size);
		this.#core.metrics.gauge('links', this.#senders.size);
	}
}
