import type {Placement} from '../../interfaces/index.js';
import type {LifecycleEffect, LifecycleState} from './message.js';
import type {Action} from './task.js';
import type {TaskQueue} from './task-queue.js';

type ReadinessOptions = {
	/** Version of each model that the engine holds; kept up to date here. */
	readonly loaded: Map<string, string>;
	readonly queue: TaskQueue;
	readonly emit: (effect: LifecycleEffect) => void;
	/** Takes back earlier removals of the models that the engine holds. */
	readonly takeBackRemovals: () => void;
};

/** Follows the endpoint from its start over loading and warming to serving, and down to its stop. */
export class Readiness {
	readonly #options: ReadinessOptions;
	#state: LifecycleState = 'stopped';
	#placements: readonly Placement[] = [];

	constructor(options: ReadinessOptions) {
		this.#options = options;
	}

	get state(): LifecycleState {
		return this.#state;
	}

	/** Replaces the placements by those that name the endpoint now. */
	setPlacements(placements: readonly Placement[]): void {
		this.#placements = placements;
		this.#place();
	}

	/** Size of a placed model in bytes; 0 when it is not placed here in this version. */
	bytesOf(model: string, version: string): number {
		const placement = this.#placements.find(
			(each) => each.model === model && each.version === version,
		);
		return placement?.bytes ?? 0;
	}

	/** Starts the engine unless it runs. */
	start(): void {
		if (this.#state === 'stopped') {
			this.#state = 'starting';
			this.#options.emit({type: 'startEngine'});
		}
	}

	/** The engine runs and holds these models, as "model@version". */
	onEngineUp(models: readonly string[]): void {
		const {loaded} = this.#options;
		loaded.clear();
		for (const each of models) {
			const at = each.lastIndexOf('@');
			loaded.set(each.slice(0, at), each.slice(at + 1));
		}

		this.#state = 'loading';
		this.#place();
		this.warmWhenLoaded();
	}

	/** Begins warming once no model is left to load. */
	warmWhenLoaded(): void {
		const {queue, emit} = this.#options;
		if (this.#state === 'loading' && !queue.hasLoad()) {
			this.#state = 'warming';
			emit({type: 'warm'});
		}
	}

	/** The engine has answered a first request. */
	onWarmed(): void {
		if (this.#state === 'warming') {
			this.#serve();
		}
	}

	/** The engine has carried out a command. */
	onDone(action: Action): void {
		const {loaded} = this.#options;
		if (action.type === 'load') {
			loaded.set(action.model, action.version);
		} else if (action.type === 'unload') {
			loaded.delete(action.model);
		}

		if (this.#state === 'serving') {
			this.#serve();
		} else {
			this.warmWhenLoaded();
		}
	}

	/** Withdraws the endpoint from new work before its stop. */
	drain(): void {
		const {emit} = this.#options;
		this.#state = 'draining';
		emit({type: 'targets', models: []});
		emit({type: 'leave'});
	}

	/** Stops the drained engine. */
	stop(): void {
		const {loaded, emit} = this.#options;
		this.#state = 'stopped';
		loaded.clear();
		emit({type: 'stopEngine'});
	}

	/** Queues the loading of placed models that the engine lacks. */
	#place(): void {
		if (this.#state === 'stopped' || this.#state === 'starting') {
			return;
		}

		const {loaded, queue} = this.#options;
		for (const {model, version} of this.#placements) {
			if (loaded.get(model) !== version && !queue.hasLoad(model)) {
				queue.add({type: 'load', model, version}, false);
			}
		}
	}

	#serve(): void {
		const {loaded, emit, takeBackRemovals} = this.#options;
		this.#state = 'serving';
		const models = [...loaded.keys()];
		takeBackRemovals();
		emit({type: 'targets', models});
		emit({type: 'log', event: 'serving', fields: {models: models.join(' ')}});
	}
}
