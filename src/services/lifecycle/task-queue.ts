import type {Action, Task} from './task.js';

type TaskQueueOptions = {
	/** This run of the sidecar. */
	readonly incarnation: string;
	/** Models that the engine holds. */
	readonly loaded: ReadonlyMap<string, string>;
	/** A number that this run has not used yet. */
	readonly nextNumber: () => number;
};

/** The tasks of one endpoint; only the first one is in progress. */
export class TaskQueue {
	readonly #options: TaskQueueOptions;
	#tasks: Task[] = [];

	constructor(options: TaskQueueOptions) {
		this.#options = options;
	}

	get first(): Task | undefined {
		return this.#tasks[0];
	}

	get isEmpty(): boolean {
		return this.#tasks.length === 0;
	}

	/** Adds a task; without `force` it claims the removal of each model that it takes away. */
	add(action: Action, force: boolean): void {
		const {incarnation, loaded, nextNumber} = this.#options;
		const id = `${incarnation}/${nextNumber()}`;
		const removals =
			force || (action.type !== 'stop' && action.type !== 'unload')
				? []
				: action.type === 'stop'
					? [...loaded.keys()]
					: [action.model];
		const stage = action.type === 'load' ? 'grant' : 'removal';
		this.#tasks.push({
			id,
			action,
			force,
			removals,
			stage,
			isWaiting: false,
			notBefore: 0,
			tries: 0,
		});
	}

	/** Whether a model is still to be loaded; any model when none is named. */
	hasLoad(model?: string): boolean {
		return this.#tasks.some(
			({action}) =>
				action.type === 'load' &&
				(model === undefined || action.model === model),
		);
	}

	removeFirst(): void {
		this.#tasks.shift();
	}

	remove(task: Task): void {
		this.#tasks = this.#tasks.filter((each) => each !== task);
	}

	clear(): void {
		this.#tasks = [];
	}

	dump(): unknown {
		return this.#tasks;
	}
}
