import type {Random} from '../../base/index.js';
import type {Placement, Schedule} from '../../interfaces/index.js';
import {Commands} from './commands.js';
import {Lease} from './lease.js';
import type {
	LifecycleEffect,
	LifecycleInput,
	LifecycleState,
} from './message.js';
import {Readiness} from './readiness.js';
import {Removals} from './removals.js';
import {ScheduleClaims} from './schedule-claims.js';
import {TableOperations} from './table-operations.js';
import type {Task} from './task.js';
import {TaskQueue} from './task-queue.js';

/** Time between looks at the schedules, in milliseconds. */
const scheduleEveryMs = 1000;

export type LifecycleOptions = {
	readonly endpoint: string;
	/** This run of the sidecar. */
	readonly incarnation: string;
	readonly random: Random;
};

/** Whether an endpoint is named by one of the patterns; a trailing "*" matches any ending. */
export function namesEndpoint(
	patterns: readonly string[],
	endpoint: string,
): boolean {
	return patterns.some((pattern) =>
		pattern.endsWith('*')
			? endpoint.startsWith(pattern.slice(0, -1))
			: pattern === endpoint,
	);
}

/** Starts, loads, warms, drains and stops one endpoint as its records say. */
export class Lifecycle {
	readonly #endpoint: string;
	/** Version of each model that the engine holds. */
	readonly #loaded = new Map<string, string>();
	readonly #lease: Lease;
	readonly #queue: TaskQueue;
	readonly #claims: ScheduleClaims;
	readonly #removals: Removals;
	readonly #readiness: Readiness;
	readonly #commands: Commands;
	readonly #table: TableOperations;
	#nextLook = 0;
	#numbers = 0;
	#effects: LifecycleEffect[] = [];

	constructor(options: LifecycleOptions) {
		const {endpoint, incarnation, random} = options;
		const emit = (effect: LifecycleEffect) => {
			this.#effects.push(effect);
		};

		const nextNumber = () => ++this.#numbers;
		const loaded = this.#loaded;
		const lease = new Lease(endpoint, incarnation);
		const queue = new TaskQueue({incarnation, loaded, nextNumber});
		const removals = new Removals({endpoint, loaded, queue, emit});
		const readiness = new Readiness({
			loaded,
			queue,
			emit,
			takeBackRemovals() {
				removals.takeBack();
			},
		});
		const claims = new ScheduleClaims({
			endpoint,
			incarnation,
			nextNumber,
			fire: (schedule, key) => {
				this.#onFired(schedule, key);
			},
		});
		this.#endpoint = endpoint;
		this.#lease = lease;
		this.#queue = queue;
		this.#claims = claims;
		this.#removals = removals;
		this.#readiness = readiness;
		this.#commands = new Commands({random, lease, queue, readiness, emit});
		this.#table = new TableOperations({
			random,
			lease,
			claims,
			removals,
			queue,
			nextNumber,
			emit,
		});
	}

	get state(): LifecycleState {
		return this.#readiness.state;
	}

	handle(message: LifecycleInput, now: number): LifecycleEffect[] {
		this.#effects = [];
		switch (message.type) {
			case 'records': {
				this.#onRecords(message.schedules, message.placements);
				break;
			}

			case 'models': {
				this.#removals.setModels(message.models);
				break;
			}

			case 'engineUp': {
				this.#readiness.onEngineUp(message.loaded);
				break;
			}

			case 'grant': {
				this.#commands.onGrant(message.id, message.waitMs, now);
				break;
			}

			case 'commandEnded': {
				this.#commands.onEnded(message.id, message.result, now);
				break;
			}

			case 'drained': {
				this.#onDrained();
				break;
			}

			case 'warmed': {
				this.#readiness.onWarmed();
				break;
			}

			case 'table': {
				this.#table.onAnswer(message.id, message.answer, now);
				break;
			}

			case 'tick': {
				this.#nextLook = now + scheduleEveryMs;
				this.#table.expire(now);
				this.#claims.look(message.wallMs);
				break;
			}
		}

		this.#advanceTask(now);
		this.#table.advance(now);
		return this.#effects;
	}

	nextWake(): number | undefined {
		return this.#nextLook;
	}

	dump(): unknown {
		return {
			endpoint: this.#endpoint,
			state: this.state,
			loaded: Object.fromEntries(this.#loaded),
			tasks: this.#queue.dump(),
			claims: this.#claims.dump(),
			returns: this.#removals.dump(),
			leaseValidUntil: this.#lease.validUntil,
		};
	}

	#onRecords(
		schedules: readonly Schedule[],
		placements: readonly Placement[],
	): void {
		const endpoint = this.#endpoint;
		this.#claims.setSchedules(
			schedules.filter((each) => namesEndpoint(each.endpoints, endpoint)),
		);
		this.#readiness.setPlacements(
			placements.filter((each) => namesEndpoint(each.endpoints, endpoint)),
		);
	}

	#onFired({action, force}: Schedule, key: string): void {
		this.#queue.add(action, force);
		this.#effects.push({
			type: 'log',
			event: 'schedule fired',
			fields: {key, action: action.type},
		});
	}

	#onDrained(): void {
		if (this.#queue.first?.stage === 'drain') {
			this.#queue.removeFirst();
			this.#readiness.stop();
		}
	}

	#advanceTask(now: number): void {
		const task = this.#queue.first;
		if (!task || task.isWaiting || now < task.notBefore) {
			return;
		}

		switch (task.stage) {
			case 'removal': {
				if (this.#removals.isClear(task)) {
					this.#begin(task);
				}

				break;
			}

			case 'grant': {
				this.#commands.reserve(task);
				break;
			}

			case 'command': {
				this.#commands.give(task, now);
				break;
			}

			case 'drain': {
				break;
			}
		}
	}

	/** Moves a task on whose removals are all claimed. */
	#begin(task: Task): void {
		switch (task.action.type) {
			case 'start': {
				this.#queue.removeFirst();
				this.#readiness.start();
				break;
			}

			case 'stop': {
				task.stage = 'drain';
				this.#readiness.drain();
				break;
			}

			case 'load':
			case 'unload':
			case 'role': {
				task.stage = 'command';
				break;
			}
		}
	}
}
