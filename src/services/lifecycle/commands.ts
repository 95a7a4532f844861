import type {Random} from '../../base/index.js';
import type {EngineCommand} from '../../interfaces/index.js';
import {jitter} from '../spread/index.js';
import type {Lease} from './lease.js';
import type {LifecycleEffect} from './message.js';
import type {Readiness} from './readiness.js';
import type {Action, Task} from './task.js';
import type {TaskQueue} from './task-queue.js';

/** Mean time after which a failed command or an unanswered weight store is tried again, in milliseconds. */
const commandRetryMs = 5000;
/** Tries of one command before it is given up. */
const maxTries = 5;

type CommandsOptions = {
	readonly random: Random;
	readonly lease: Lease;
	readonly queue: TaskQueue;
	readonly readiness: Readiness;
	readonly emit: (effect: LifecycleEffect) => void;
};

/** Asks the weight store for grants to load, and gives the engine its commands under the lease. */
export class Commands {
	readonly #options: CommandsOptions;

	constructor(options: CommandsOptions) {
		this.#options = options;
	}

	/** Asks the weight store whether a model may be loaded now. */
	reserve(task: Task): void {
		if (task.action.type !== 'load') {
			return;
		}

		const {readiness, emit} = this.#options;
		const {model, version} = task.action;
		const bytes = readiness.bytesOf(model, version);
		task.isWaiting = true;
		emit({type: 'reserve', id: task.id, model, version, bytes});
	}

	/** Takes the answer of the weight store: 0 when granted, else the time after which to ask again, in milliseconds; undefined when it did not answer. */
	onGrant(id: string, waitMs: number | undefined, now: number): void {
		const task = this.#options.queue.first;
		if (task?.id !== id || task.stage !== 'grant') {
			return;
		}

		task.isWaiting = false;
		if (waitMs === 0) {
			task.stage = 'command';
		} else {
			task.notBefore =
				now + (waitMs ?? jitter(commandRetryMs, this.#options.random));
		}
	}

	/** Gives the command only under a lease that has time left now; after a pause it has not. */
	give(task: Task, now: number): void {
		const {lease, emit} = this.#options;
		const fencingToken = lease.token(now);
		const command =
			fencingToken === undefined
				? undefined
				: engineCommand(task.action, fencingToken);
		if (command) {
			task.isWaiting = true;
			const {validUntil} = lease;
			emit({type: 'command', id: task.id, command, validUntil});
		}
	}

	/** Takes the engine's answer to a command. */
	onEnded(id: string, result: 'done' | 'fenced' | 'failed', now: number): void {
		const {queue, lease, readiness} = this.#options;
		const task = queue.first;
		if (task?.id !== id || task.stage !== 'command') {
			return;
		}

		task.isWaiting = false;
		switch (result) {
			case 'done': {
				queue.removeFirst();
				readiness.onDone(task.action);
				break;
			}

			case 'fenced': {
				lease.drop();
				this.#retry(task, now);
				break;
			}

			case 'failed': {
				this.#retry(task, now);
				break;
			}
		}
	}

	#retry(task: Task, now: number): void {
		const {random, queue, readiness, emit} = this.#options;
		task.tries++;
		task.notBefore = now + jitter(commandRetryMs, random);
		if (task.tries >= maxTries) {
			queue.removeFirst();
			emit({
				type: 'log',
				event: 'command given up',
				fields: {action: task.action.type, tries: task.tries},
			});
			readiness.warmWhenLoaded();
		}
	}
}

function engineCommand(
	action: Action,
	fencingToken: number,
): EngineCommand | undefined {
	switch (action.type) {
		case 'load': {
			const {type, model, version} = action;
			return {type, fencingToken, model, version};
		}

		case 'unload': {
			return {type: 'unload', fencingToken, model: action.model};
		}

		case 'role': {
			return {type: 'role', fencingToken, role: action.role};
		}

		case 'start':
		case 'stop': {
			return undefined;
		}
	}
}
