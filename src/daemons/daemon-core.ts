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
} from '../platform/index.js';
import {Catalogue, type CommonEffect} from '../services/index.js';
import {AdminServer} from './admin/index.js';
import {ConfigPoller} from './config-poller.js';
import {splitAddress} from './listen.js';
import {Log} from './log.js';
import {Metrics} from './metrics/index.js';

export type DaemonOptions = {
	readonly settings: Settings;
	readonly table: Table;
	readonly instances: InstanceList;
	/** Seed of the role's random choices. */
	readonly seed: number;
};

/** What a role adds to the common parts of its daemon. */
export type DaemonRole = {
	/** State of the role as plain data. */
	readonly dump: () => Record<string, unknown>;
	/** The records or the instance list have been read. */
	readonly onDidRead: () => void;
	/** Stops taking new work; called once. */
	readonly leave: () => void;
	/** Hands the answer of a table operation to the state machine. */
	readonly onTableAnswer: (id: string, answer: TableAnswer) => void;
};

/** Effects that every role's daemon carries out in the same way. */
export type SharedEffect = CommonEffect | {readonly type: 'drained'};

/** Parts that the daemons of all roles share: records, metrics, log, admin address, table calls and the graceful stop. */
export class DaemonCore implements Disposable {
	/** Identity of this run of the process. */
	readonly incarnation = randomUUID();
	readonly catalogue = new Catalogue();
	readonly metrics: Metrics;
	readonly log: Log;
	readonly #options: DaemonOptions;
	readonly #role: DaemonRole;
	readonly #store = new DisposableStore();
	readonly #poller: ConfigPoller;
	readonly #admin: AdminServer;
	readonly #drained: Promise<void>;
	#resolveDrained: () => void = () => undefined;
	#hasRecords = false;
	#leaving = false;

	constructor(options: DaemonOptions, role: DaemonRole) {
		this.#options = options;
		this.#role = role;
		const {process, metrics, log} = options.settings;
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
		this.#poller = this.#store.add(
			new ConfigPoller({
				table: options.table,
				instances: options.instances,
				catalogue: this.catalogue,
				log: this.log,
				onDidRead: () => {
					this.#hasRecords = true;
					role.onDidRead();
				},
			}),
		);
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

	/** Whether the process has records and takes new work. */
	get isReady(): boolean {
		return this.#hasRecords && !this.#leaving;
	}

	get isLeaving(): boolean {
		return this.#leaving;
	}

	/** Identity of this process for its peers. */
	get hello(): Hello {
		const {process} = this.#options.settings;
		return {
			instance: process.instance,
			role: process.role,
			incarnation: this.incarnation,
			dataCentre: process.data_centre,
			revision: 0,
		};
	}

	/** Reads the records and opens the admin address; rejects when it cannot be used. */
	async start(): Promise<void> {
		await this.#poller.read();
		await this.#admin.listen(this.#options.settings.addresses.admin);
	}

	/** Takes no new work; resolves when nothing is in progress any more. */
	async drain(): Promise<void> {
		if (!this.#leaving) {
			this.#leaving = true;
			this.log.info('draining');
			this.#role.leave();
		}

		return this.#drained;
	}

	dump(): unknown {
		const {process: own} = this.#options.settings;
		return {
			instance: own.instance,
			role: own.role,
			incarnation: this.incarnation,
			process: processUsage(),
			...this.#role.dump(),
			metrics: this.metrics.dump(),
		};
	}

	carryOut(effect: SharedEffect): void {
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

	/** Calls at a fixed interval in milliseconds until it is disposed of. */
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

/** Processor time in microseconds, memory in bytes and run time in seconds of this process. */
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
