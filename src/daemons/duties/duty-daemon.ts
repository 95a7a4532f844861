import {randomUUID} from 'node:crypto';
import {rendezvous, type Disposable} from '../../base/index.js';
import type {CloudApi, DutyRows} from '../../interfaces/index.js';
import {ClockOffset, UsageCounts} from '../../services/duties/index.js';
import {readClocks} from '../gateway/clocks.js';
import type {DutyMessage, HeldLease} from '../gateway/duty-messages.js';
import type {GatewayMetrics} from '../gateway/gateway-metrics.js';
import type {Log} from '../log.js';
import {DutyTask} from './duty-task.js';
import type {DutyWork} from './duty-work.js';
import {ScaleWork, type OrderDecisions} from './scale-work.js';
import {UsageWork} from './usage-work.js';

/** Interval of the daemon's steps, in milliseconds. */
const stepIntervalMs = 100;

/** Interval between heartbeats of a holder, in milliseconds. */
const holderHeartbeatMs = 500;

/** The same of other gateways, whose clocks are compared, in milliseconds. */
const idleHeartbeatMs = 5000;

/** Interval between heartbeats of a gateway that lacks the others' times, in milliseconds. */
const urgentHeartbeatMs = 500;

/** Number of heartbeats after the start that ask for answers: the addresses of the other gateways become known one by one. */
const askingHeartbeats = 4;

/** Minimum interval between datagrams with counts, in milliseconds. */
const noticeIntervalMs = 250;

/** Gateways that get counts besides the holder, and take over from it without loss. */
const standbys = 2;

/** Interval at which the order of the gateways is computed again, in milliseconds. */
const orderIntervalMs = 1000;

/** Part of the lease time by which a holder stops earlier and others wait longer. */
const marginPart = 0.1;

/** Time for which a stop waits for the release of the leases, in milliseconds. */
const stopTimeoutMs = 2000;

export const dutyNames = ['usage', 'scale'] as const;

export type DutyName = (typeof dutyNames)[number];

/** Duties of a deployment and their bounds. */
export type DutySettings = {
	readonly names: readonly DutyName[];
	/** Time for which a holder may act after its last write, in milliseconds. */
	readonly leaseMs: number;
	/** Length of a window of the usage reports, in milliseconds. */
	readonly windowMs: number;
	/** Time after the end of a window at which its report is late, in milliseconds. */
	readonly dueMs: number;
	/** Maximum number of calls to the platform's API in a second, of all gateways. */
	readonly callsPerSecond: number;
};

export type DutyOptions = DutySettings & {
	readonly rows: DutyRows;
	readonly api: CloudApi;
	/** Decides about server scaling orders; the duty is not taken up without it. */
	readonly orders?: OrderDecisions;
};

export type DutyDaemonOptions = DutyOptions & {
	/** Name of this gateway. */
	readonly instance: string;
	readonly log: Log;
	readonly metrics: GatewayMetrics;
	/** Names of the other gateways that run. */
	readonly otherGateways: () => Iterable<string>;
	readonly broadcast: (message: DutyMessage) => void;
	readonly sendTo: (gateway: string, message: DutyMessage) => void;
};

/** Takes part in the singleton duties of the deployment: counts this gateway's requests, compares clocks, and holds leases. */
export class DutyDaemon implements Disposable {
	readonly #options: DutyDaemonOptions;
	readonly #clock = new ClockOffset();
	readonly #counts: UsageCounts;
	readonly #tasks: DutyTask[];
	#timer: NodeJS.Timeout | undefined;
	#heartbeats = 0;
	#heartbeatAt = Number.NEGATIVE_INFINITY;
	#noticeAt = Number.NEGATIVE_INFINITY;
	/** Gateways that have been heard. */
	readonly #known = new Set<string>();
	/** Order of the gateways by duty, and when it was computed. */
	readonly #orders = new Map<string, {at: number; names: readonly string[]}>();

	constructor(options: DutyDaemonOptions) {
		this.#options = options;
		const incarnation = randomUUID();
		this.#counts = new UsageCounts(incarnation.slice(0, 8), options.windowMs);
		this.#tasks = options.names.flatMap((name) => {
			const work = this.#createWork(name);
			return work ? [this.#createTask(work, incarnation)] : [];
		});
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#step();
		}, stepIntervalMs);
	}

	/** Counts a request that began to run at a monotonic time, in milliseconds. */
	countRequest(workspace: string, beganAt: number): void {
		const now = readClocks();
		const trueMs = this.#clock.trueMs(now);
		this.#counts.count(workspace, trueMs - (now.monotonicMs - beganAt), trueMs);
	}

	/** The store was restored from a backup. */
	seeEra(era: number): void {
		for (const task of this.#tasks) {
			task.seeEra(era);
		}
	}

	receive(message: DutyMessage): void {
		switch (message.type) {
			case 'duty heartbeat': {
				this.#receiveHeartbeat(message);
				break;
			}

			case 'usage counts': {
				this.#counts.apply(message, this.#clock.trueMs(readClocks()));
				break;
			}
		}
	}

	/** Ends this gateway's calls and releases its leases; resolves when that is done, or after 2 s. */
	async stop(): Promise<void> {
		for (const task of this.#tasks) {
			task.stop();
		}

		for (let waited = 0; waited < stopTimeoutMs; waited += stepIntervalMs) {
			if (this.#heldLeases().length === 0) {
				return;
			}

			await new Promise((resolve) => {
				setTimeout(resolve, stepIntervalMs);
			});
		}
	}

	/** Snapshot for operators. */
	dump(): unknown {
		const now = readClocks();
		return {
			clockOffsetMs: Math.round(this.#clock.trueMs(now) - now.wallMs),
			tasks: this.#tasks.map((task) => task.dump()),
		};
	}

	dispose(): void {
		clearInterval(this.#timer);
		for (const task of this.#tasks) {
			task.dispose();
		}

		this.#options.api.dispose();
	}

	#createWork(name: DutyName): DutyWork | undefined {
		const {api, orders, log, metrics, dueMs} = this.#options;
		switch (name) {
			case 'usage': {
				return new UsageWork({
					api,
					counts: this.#counts,
					trueMs: () => this.#clock.trueMs(readClocks()),
					isTimeUncertain: () => this.#clock.isUncertain,
					dueMs,
					log,
					onDidReport(result, windows) {
						metrics.dutyCalled('usage', result, windows);
					},
				});
			}

			case 'scale': {
				return (
					orders &&
					new ScaleWork({
						api,
						orders,
						log,
						onDidOrder(result) {
							metrics.dutyCalled('scale', result);
						},
					})
				);
			}
		}
	}

	#createTask(work: DutyWork, incarnation: string): DutyTask {
		const {instance, leaseMs, rows, log, metrics} = this.#options;
		// Duties together use at most the bound, with two tasks at half of it each.
		const callIntervalMs =
			(1000 * dutyNames.length) / this.#options.callsPerSecond;
		return new DutyTask({
			work,
			rows,
			log,
			holder: instance,
			incarnation,
			leaseMs,
			marginMs: leaseMs * marginPart,
			rank: () => this.#order(work.duty).indexOf(instance),
			trueMs: (now) => this.#clock.trueMs(now),
			callIntervalMs,
			onDidChange(change) {
				metrics.dutyChanged(work.duty, change);
			},
			onDidCallStore(result) {
				metrics.storeCall('duties', result);
			},
		});
	}

	#step(): void {
		for (const task of this.#tasks) {
			task.tick();
		}

		const now = readClocks().monotonicMs;
		if (now - this.#noticeAt >= noticeIntervalMs) {
			this.#noticeAt = now;
			this.#sendCounts();
		}

		const leases = this.#heldLeases();
		const isAsking =
			this.#heartbeats < askingHeartbeats || this.#clock.isUncertain;
		const intervalMs =
			leases.length > 0
				? holderHeartbeatMs
				: isAsking
					? urgentHeartbeatMs
					: idleHeartbeatMs;
		if (now - this.#heartbeatAt >= intervalMs) {
			this.#heartbeatAt = now;
			this.#heartbeats++;
			this.#options.broadcast(this.#heartbeat(leases, isAsking));
		}
	}

	#heartbeat(leases: readonly HeldLease[], wantsAnswer: boolean): DutyMessage {
		return {
			type: 'duty heartbeat',
			gateway: this.#options.instance,
			wallMs: readClocks().wallMs,
			wantsAnswer,
			leases,
		};
	}

	#heldLeases(): HeldLease[] {
		return this.#tasks.flatMap((task) => {
			const notice = task.notice();
			return notice ? [{duty: task.duty, ...notice}] : [];
		});
	}

	#receiveHeartbeat({
		gateway,
		wallMs,
		wantsAnswer,
		leases,
	}: Extract<DutyMessage, {type: 'duty heartbeat'}>): void {
		this.#clock.hear(gateway, wallMs, readClocks());
		for (const lease of leases) {
			const task = this.#tasks.find(({duty}) => duty === lease.duty);
			if (task?.hear(gateway, lease) && lease.duty === 'usage') {
				// A new holder may lack counts of windows that it has to settle.
				this.#counts.repeatAll();
			}
		}

		if (wantsAnswer || !this.#known.has(gateway)) {
			this.#known.add(gateway);
			this.#options.sendTo(gateway, this.#heartbeat(this.#heldLeases(), false));
		}
	}

	/** Sends counts to the holder and to the gateways that would take over from it. */
	#sendCounts(): void {
		const usage = this.#tasks.find(({duty}) => duty === 'usage');
		if (!usage) {
			return;
		}

		const {instance, sendTo} = this.#options;
		const notices = this.#counts.takeNotices(this.#clock.trueMs(readClocks()));
		if (notices.length === 0) {
			return;
		}

		const order = this.#order('usage');
		const {holder = order[0]} = usage;
		const next = order.filter((name) => name !== holder).slice(0, standbys);
		for (const name of new Set([holder, ...next])) {
			if (name !== undefined && name !== instance) {
				for (const notice of notices) {
					sendTo(name, {type: 'usage counts', ...notice});
				}
			}
		}
	}

	/** All gateways that run, in the order in which they take up a duty. */
	#order(duty: string): readonly string[] {
		const now = readClocks().monotonicMs;
		const known = this.#orders.get(duty);
		if (known && now - known.at < orderIntervalMs) {
			return known.names;
		}

		const names = [...this.#options.otherGateways(), this.#options.instance];
		const order = {at: now, names: rendezvous(duty, names, names.length)};
		this.#orders.set(duty, order);
		return order.names;
	}
}
