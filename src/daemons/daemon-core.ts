import process from 'node:process';
import {randomUUID} from 'node:crypto';
import {DisposableStore, toDisposable, type Disposable} from '../base/index.js';
import {
	callTable,
	type Hello,
	type InstanceList,
	type Settings,
	type Table,
	type TableAnswer,
} from '../interfaces/index.js';
import {Catalogue, type CommonEffect} from '../services/index.js';
import {AdminServer} from './admin/index.js';
import {Gossip} from './gossip/index.js';
import {LinkServer, PeerKeys, type AcceptedLink} from './link/index.js';
import {splitAddress} from './listen.js';
import {Log} from './log.js';
import {Metrics} from './metrics/index.js';

export type DaemonOptions = {
	readonly settings: Settings;
	readonly table: Table;
	readonly instances: InstanceList;
	/** Seed of the role's random number generator. */
	readonly seed: number;
};

/** Callbacks of a role, which the shared parts of its daemon call. */
export type RoleCallbacks = {
	/** State of the role as plain data. */
	readonly dump: () => Record<string, unknown>;
	/** Called when the records in force or the instances have changed. */
	readonly onDidChange: () => void;
	/** Called when another process has opened a link. */
	readonly onDidAccept?: (accepted: AcceptedLink) => void;
	/** Stops accepting new work; called once. */
	readonly leave: () => void;
	/** Passes the answer to a table operation to the state machine. */
	readonly onTableAnswer: (id: string, answer: TableAnswer) => void;
};

/** Effects that the daemons of all roles apply in the same way. */
export type SharedEffect = CommonEffect | {readonly type: 'drained'};

/** Parts shared by the daemons of all roles: records, metrics, log, admin address, table calls and graceful shutdown. */
export class DaemonCore implements Disposable {
	/** Random id of this run of the process. */
	readonly incarnation = randomUUID();
	readonly catalogue = new Catalogue();
	readonly metrics: Metrics;
	readonly log: Log;
	readonly #options: DaemonOptions;
	readonly #role: RoleCallbacks;
	readonly #store = new DisposableStore();
	readonly #gossip: Gossip;
	readonly #server: LinkServer;
	readonly #admin: AdminServer;
	readonly #drained: Promise<void>;
	#resolveDrained: () => void = () => undefined;
	#leaving = false;

	constructor(options: DaemonOptions, role: RoleCallbacks) {
		this.#options = options;
		this.#role = role;
		const {process, metrics, log, peers, limits} = options.settings;
		this.#drained = new Promise((resolve) => {
			this.#resolveDrained = resolve;
		});
		this.log = new Log(log);
		this.metrics = this.#store.add(
			new Metrics({
				server: metrics.address ? splitAddress(metrics.address) : undefined,
				prefix: metrics.prefix,
				tags: {role: process.role, instance: process.instance},
			}),
		);
		this.#gossip = this.#store.add(
			new Gossip({
				...options,
				catalogue: this.catalogue,
				log: this.log,
				incarnation: this.incarnation,
				localHello: () => this.hello,
				applyEffect: (effect) => {
					this.applyEffect(effect);
				},
				onDidChange: role.onDidChange,
				onDidReceiveLeaving: () => {
					void this.drain();
				},
			}),
		);
		this.#server = this.#store.add(
			new LinkServer({
				keys: new PeerKeys([peers.key, peers.previous_key]),
				localHello: () => this.hello,
				limits,
			}),
		);
		this.#server.onDidAccept((accepted) => {
			if (accepted.peer.role !== 'operator') {
				this.#gossip.accept(accepted);
			}

			role.onDidAccept?.(accepted);
		});
		this.#admin = this.#store.add(
			new AdminServer({
				dump: () => this.dump(),
				isReady: () => this.isReady,
				drain: () => {
					void this.drain();
				},
			}),
		);
	}

	/** Whether the process has loaded the records and accepts new work. */
	get isReady(): boolean {
		return this.#gossip.revision !== undefined && !this.#leaving;
	}

	get isLeaving(): boolean {
		return this.#leaving;
	}

	/** Identity that this process sends to a peer in the handshake. */
	get hello(): Hello {
		const {process} = this.#options.settings;
		return {
			instance: process.instance,
			role: process.role,
			incarnation: this.incarnation,
			dataCentre: process.data_centre,
			revision: this.#gossip.revision ?? 0,
		};
	}

	/** Starts listening on the admin and peer addresses and fetching records and instances. Resolves to the peer port; rejects when an address cannot be used. */
	async start(): Promise<number> {
		const {addresses} = this.#options.settings;
		await this.#admin.listen(addresses.admin);
		const port = await this.#server.listen(addresses.peer!);
		await this.#gossip.start();
		return port;
	}

	/** Stops accepting new work; resolves when all work in progress has ended and the peers have been informed. */
	async drain(): Promise<void> {
		if (!this.#leaving) {
			this.#leaving = true;
			this.log.info('draining');
			this.#role.leave();
		}

		await Promise.all([this.#drained, this.#gossip.leave()]);
		await this.#server.end();
	}

	dump(): unknown {
		const {process: own} = this.#options.settings;
		return {
			instance: own.instance,
			role: own.role,
			incarnation: this.incarnation,
			process: processUsage(),
			...this.#role.dump(),
			...this.#gossip.dump(),
			metrics: this.metrics.dump(),
		};
	}

	applyEffect(effect: SharedEffect): void {
		switch (effect.type) {
			case 'count': {
				this.metrics.count(effect.name, effect.value, effect.tags);
				break;
			}

			case 'timing': {
				this.metrics.timing(effect.name, effect.ms, effect.tags);
				break;
			}

			case 'log': {
				this.log.info(effect.event, effect.fields);
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

	/** Calls a function at a fixed interval, in milliseconds, until the result is disposed of. */
	repeat(intervalMs: number, call: () => void): Disposable {
		const timer = setInterval(call, intervalMs);
		return toDisposable(() => {
			clearInterval(timer);
		});
	}

	dispose(): void {
		this.#store.dispose();
	}

	async #callTable(
		effect: Extract<CommonEffect, {type: 'table'}>,
	): Promise<void> {
		const answer = await callTable(this.#options.table, effect.call);
		this.#role.onTableAnswer(effect.id, answer);
	}
}

/** Process id, CPU time in microseconds, memory in bytes and uptime in seconds of this process. */
function processUsage() {
	const {user, system} = process.cpuUsage();
	const {rss, heapUsed, external} = process.memoryUsage();
	return {
		pid: process.pid,
		uptimeSeconds: process.uptime(),
		cpuUserMicros: user,
		cpuSystemMicros: system,
		rssBytes: rss,
		heapUsedBytes: heapUsed,
		externalBytes: external,
	};
}
