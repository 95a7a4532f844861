import type {TableAnswer} from '../../interfaces/index.js';
import type {LifecycleEffect, ModelView} from './message.js';
import {Removal} from './removal.js';
import type {Task} from './task.js';
import type {TaskQueue} from './task-queue.js';

/** A claim to stop serving a model for a task, or the return of an earlier claim. */
export type RemovalOperation =
	| {readonly type: 'removal'; readonly task: Task; readonly removal: Removal}
	| {
			readonly type: 'return';
			readonly model: string;
			readonly removal: Removal;
	  };

type RemovalsOptions = {
	readonly endpoint: string;
	/** Models that the engine holds. */
	readonly loaded: ReadonlyMap<string, string>;
	readonly queue: TaskQueue;
	readonly emit: (effect: LifecycleEffect) => void;
};

/** Claims the removal of the endpoint from its models before a task, so that each model with demand keeps a serving endpoint. */
export class Removals {
	readonly #options: RemovalsOptions;
	#models: readonly ModelView[] = [];
	/** Models of which an earlier removal is to be taken back. */
	readonly #returns = new Set<string>();

	constructor(options: RemovalsOptions) {
		this.#options = options;
	}

	setModels(models: readonly ModelView[]): void {
		this.#models = models;
	}

	/** Takes back earlier removals of the models that the engine holds. */
	takeBack(): void {
		for (const model of this.#options.loaded.keys()) {
			this.#returns.add(model);
		}
	}

	/** Whether a task has no removal left to claim. A model without demand needs no claim; one of which nothing is known does. */
	isClear(task: Task): boolean {
		while (
			this.#models.some(
				(view) => view.model === task.removals[0] && !view.hasDemand,
			)
		) {
			task.removals.shift();
		}

		return task.removals.length === 0;
	}

	/** The table operation to be made next; returns come before removals. */
	next(): RemovalOperation | undefined {
		const {endpoint, queue} = this.#options;
		const [model] = this.#returns;
		if (model !== undefined) {
			const removal = new Removal(model, endpoint);
			return {type: 'return', model, removal};
		}

		const task = queue.first;
		const [leaving] = task?.removals ?? [];
		if (task && leaving !== undefined) {
			const view = this.#models.find((each) => each.model === leaving);
			const removal = new Removal(leaving, endpoint, view?.serving ?? []);
			return {type: 'removal', task, removal};
		}

		return undefined;
	}

	/** Takes the table's answer; returns whether the operation has its result. */
	onAnswer(operation: RemovalOperation, answer: TableAnswer): boolean {
		const {removal} = operation;
		removal.onAnswer(answer);
		if (removal.result === undefined) {
			return false;
		}

		switch (operation.type) {
			case 'removal': {
				if (removal.result === 'allowed') {
					operation.task.removals.shift();
				} else {
					this.#refuse(operation.task);
				}

				break;
			}

			case 'return': {
				this.#returns.delete(operation.model);
				break;
			}
		}

		return true;
	}

	/** Models of which a removal is to be taken back. */
	dump(): unknown {
		return [...this.#returns];
	}

	/** Gives up a task that would remove the last serving endpoint of a model. */
	#refuse(task: Task): void {
		const {queue, emit} = this.#options;
		queue.remove(task);
		this.takeBack();
		const model = task.removals[0] ?? '';
		emit({
			type: 'count',
			name: 'lifecycle.refused',
			value: 1,
			tags: {action: task.action.type},
		});
		emit({
			type: 'log',
			event: 'last serving endpoint kept',
			fields: {action: task.action.type, model},
		});
	}
}
