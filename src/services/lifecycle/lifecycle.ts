import type {Random} from '../../base/index.js';
import type {
	EngineCommand,
	Placement,
	Schedule,
	TableAnswer,
	TableCall,
} from '../../platform/index.js';
import {jitter} from '../spread/index.js';
import {Claim} from './claim.js';
import {Lease} from './lease.js';
import type {
	LifecycleEffect,
	LifecycleInput,
	LifecycleState,
	ModelView,
} from './message.js';
import {dueOccurrence, occurrenceKey} from './occurrence.js';
import {Removal} from './removal.js';

type Action = Schedule['action'];

/** Mean time after which a failed table operation is tried again, in milliseconds. */
const tableRetryMs = 1000;
/** Mean time after which a failed command or an unanswered weight store is tried again, in milliseconds. */
const commandRetryMs = 5000;
/** Tries of one command before it is given up. */
const maxTries = 5;
/** Time between looks at the schedules, in milliseconds. */
const scheduleEveryMs = 1000;
/** Time for which an answer of the table is awaited, in milliseconds. */
const tableTimeoutMs = 10_000;

type Task = {
	readonly id: string;
	readonly action: Action;
	readonly force: boolean;
	/** Models whose removal is still to be claimed. */
	readonly removals: string[];
	stage: 'removal' | 'grant' | 'command' | 'drain';
	/** An answer from outside is awaited. */
	isWaiting: boolean;
	/** Time before which nothing is tried. */
	notBefore: number;
	tries: number;
};

/** A table operation of several steps. */
type Operation =
	| {readonly type: 'claim'; readonly schedule: Schedule; readonly claim: Claim}
	| {readonly type: 'lease'}
	| {readonly type: 'removal'; readonly task: Task; readonly removal: Removal}
	| {
			readonly type: 'return';
			readonly model: string;
			readonly removal: Removal;
	  };

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
	readonly #options: LifecycleOptions;
	readonly #lease: Lease;
	#state: LifecycleState = 'stopped';
	/** Version of each model that the engine holds. */
	#loaded = new Map<string, string>();
	#schedules: readonly Schedule[] = [];
	#placements: readonly Placement[] = [];
	#models: readonly ModelView[] = [];
	#tasks: Task[] = [];
	/** Claims of due occurrences that are not settled, by schedule. */
	readonly #claims = new Map<string, Claim>();
	/** Occurrences that this run has settled. */
	readonly #settled = new Set<string>();
	/** Models of which an earlier removal is to be taken back. */
	readonly #returns = new Set<string>();
	#operation: Operation | undefined;
	#call: {readonly id: string; readonly until: number} | undefined;
	#tableRetryAt = 0;
	/** Time until which the lease is another owner's. */
	#leaseWaitUntil = 0;
	#nextLook = 0;
	#numbers = 0;
	#effects: LifecycleEffect[] = [];

	constructor(options: LifecycleOptions) {
		this.#options = options;
		this.#lease = new Lease(options.endpoint, options.incarnation);
	}

	get state(): LifecycleState {
		return this.#state;
	}

	handle(message: LifecycleInput, now: number): LifecycleEffect[] {
		this.#effects = [];
		switch (message.type) {
			case 'records': {
				this.#onRecords(message.schedules, message.placements);
				break;
			}

			case 'models': {
				this.#models = message.models;
				break;
			}

			case 'engineUp': {
				this.#onEngineUp(message.loaded);
				break;
			}

			case 'grant': {
				this.#onGrant(message.id, message.waitMs, now);
				break;
			}

			case 'commandEnded': {
				this.#onCommandEnded(message.id, message.result, now);
				break;
			}

			case 'drained': {
				this.#onDrained();
				break;
			}

			case 'warmed': {
				if (this.#state === 'warming') {
					this.#serve();
				}

				break;
			}

			case 'table': {
				if (message.id === this.#call?.id) {
					this.#call = undefined;
					this.#onTable(message.answer, now);
				}

				break;
			}

			case 'tick': {
				this.#onTick(message.wallMs, now);
				break;
			}
		}

		this.#advance(now);
		return this.#effects;
	}

	nextWake(): number | undefined {
		return this.#nextLook;
	}

	dump(): unknown {
		return {
			endpoint: this.#options.endpoint,
			state: this.#state,
			loaded: Object.fromEntries(this.#loaded),
			tasks: this.#tasks,
			claims: [...this.#claims.values()].map((claim) => claim.key),
			returns: [...this.#returns],
			leaseValidUntil: this.#lease.validUntil,
		};
	}

	#onRecords(
		schedules: readonly Schedule[],
		placements: readonly Placement[],
	): void {
		const {endpoint} = this.#options;
		this.#schedules = schedules.filter((each) =>
			namesEndpoint(each.endpoints, endpoint),
		);
		this.#placements = placements.filter((each) =>
			namesEndpoint(each.endpoints, endpoint),
		);
		this.#place();
	}

	/** Queues the loading of placed models that the engine lacks. */
	#place(): void {
		if (this.#state === 'stopped' || this.#state === 'starting') {
			return;
		}

		for (const {model, version} of this.#placements) {
			const isQueued = this.#tasks.some(
				({action}) => action.type === 'load' && action.model === model,
			);
			if (this.#loaded.get(model) !== version && !isQueued) {
				this.#enqueue({type: 'load', model, version}, false);
			}
		}
	}

	#enqueue(action: Action, force: boolean): void {
		const id = `${this.#options.incarnation}/${++this.#numbers}`;
		const removals =
			force || (action.type !== 'stop' && action.type !== 'unload')
				? []
				: action.type === 'stop'
					? [...this.#loaded.keys()]
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

	#onEngineUp(loaded: readonly string[]): void {
		this.#loaded = new Map(
			loaded.map((each) => {
				const at = each.lastIndexOf('@');
				return [each.slice(0, at), each.slice(at + 1)];
			}),
		);
		this.#state = 'loading';
		this.#place();
		this.#warmWhenLoaded();
	}

	#warmWhenLoaded(): void {
		const isLoading = this.#tasks.some(({action}) => action.type === 'load');
		if (this.#state === 'loading' && !isLoading) {
			this.#state = 'warming';
			this.#effects.push({type: 'warm'});
		}
	}

	#serve(): void {
		this.#state = 'serving';
		const models = [...this.#loaded.keys()];
		for (const model of models) {
			this.#returns.add(model);
		}

		this.#effects.push(
			{type: 'targets', models},
			{type: 'log', event: 'serving', fields: {models: models.join(' ')}},
		);
	}

	#onTick(wallMs: number, now: number): void {
		this.#nextLook = now + scheduleEveryMs;
		if (this.#call && this.#call.until <= now) {
			this.#call = undefined;
			this.#onTable({type: 'uncertain'}, now);
		}

		const {endpoint, incarnation} = this.#options;
		const due = new Set<string>();
		for (const schedule of this.#schedules) {
			const occurrence = dueOccurrence(schedule, wallMs);
			if (occurrence === undefined) {
				continue;
			}

			const key = occurrenceKey(schedule.name, occurrence, endpoint);
			if (this.#settled.has(key)) {
				continue;
			}

			due.add(schedule.name);
			if (this.#claims.get(schedule.name)?.key !== key) {
				const by = `${incarnation}/${++this.#numbers}`;
				this.#claims.set(schedule.name, new Claim(key, by));
			}
		}

		for (const name of this.#claims.keys()) {
			if (!due.has(name)) {
				this.#claims.delete(name);
			}
		}
	}

	#onTable(answer: TableAnswer, now: number): void {
		const operation = this.#operation;
		this.#operation = undefined;
		if (answer.type === 'unavailable' || answer.type === 'uncertain') {
			this.#tableRetryAt = now + jitter(tableRetryMs, this.#options.random);
		}

		switch (operation?.type) {
			case 'claim': {
				operation.claim.onAnswer(answer);
				this.#onClaim(operation.schedule, operation.claim);
				break;
			}

			case 'lease': {
				this.#lease.onAnswer(answer, now);
				break;
			}

			case 'removal': {
				operation.removal.onAnswer(answer);
				this.#onRemoval(operation);
				break;
			}

			case 'return': {
				operation.removal.onAnswer(answer);
				if (operation.removal.result === undefined) {
					this.#operation = operation;
				} else {
					this.#returns.delete(operation.model);
				}

				break;
			}

			case undefined: {
				break;
			}
		}
	}

	#onClaim(schedule: Schedule, claim: Claim): void {
		if (claim.result === undefined) {
			return;
		}

		this.#settled.add(claim.key);
		if (this.#claims.get(schedule.name) === claim) {
			this.#claims.delete(schedule.name);
		}

		if (claim.result === 'won') {
			const {action, force} = schedule;
			this.#enqueue(action, force);
			this.#effects.push({
				type: 'log',
				event: 'schedule fired',
				fields: {key: claim.key, action: action.type},
			});
		}
	}

	#onRemoval(operation: Extract<Operation, {type: 'removal'}>): void {
		const {task, removal} = operation;
		if (removal.result === undefined) {
			this.#operation = operation;
		} else if (removal.result === 'allowed') {
			task.removals.shift();
		} else {
			this.#refuse(task);
		}
	}

	/** Gives up a task that would remove the last serving endpoint of a model. */
	#refuse(task: Task): void {
		this.#tasks = this.#tasks.filter((each) => each !== task);
		for (const model of this.#loaded.keys()) {
			this.#returns.add(model);
		}

		const model = task.removals[0] ?? '';
		this.#effects.push(
			{
				type: 'count',
				name: 'lifecycle.refused',
				value: 1,
				tags: {action: task.action.type},
			},
			{
				type: 'log',
				event: 'last serving endpoint kept',
				fields: {action: task.action.type, model},
			},
		);
	}

	#onGrant(id: string, waitMs: number | undefined, now: number): void {
		const [task] = this.#tasks;
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

	#onCommandEnded(
		id: string,
		result: 'done' | 'fenced' | 'failed',
		now: number,
	): void {
		const [task] = this.#tasks;
		if (task?.id !== id || task.stage !== 'command') {
			return;
		}

		task.isWaiting = false;
		switch (result) {
			case 'done': {
				this.#tasks.shift();
				this.#onDone(task.action);
				break;
			}

			case 'fenced': {
				this.#lease.drop();
				this.#retryCommand(task, now);
				break;
			}

			case 'failed': {
				this.#retryCommand(task, now);
				break;
			}
		}
	}

	#retryCommand(task: Task, now: number): void {
		task.tries++;
		task.notBefore = now + jitter(commandRetryMs, this.#options.random);
		if (task.tries >= maxTries) {
			this.#tasks.shift();
			this.#effects.push({
				type: 'log',
				event: 'command given up',
				fields: {action: task.action.type, tries: task.tries},
			});
			this.#warmWhenLoaded();
		}
	}

	#onDone(action: Action): void {
		if (action.type === 'load') {
			this.#loaded.set(action.model, action.version);
		} else if (action.type === 'unload') {
			this.#loaded.delete(action.model);
		}

		if (this.#state === 'serving') {
			this.#serve();
		} else {
			this.#warmWhenLoaded();
		}
	}

	#onDrained(): void {
		const [task] = this.#tasks;
		if (task?.stage === 'drain') {
			this.#tasks.shift();
			this.#state = 'stopped';
			this.#loaded = new Map();
			this.#effects.push({type: 'stopEngine'});
		}
	}

	#advance(now: number): void {
		this.#advanceTask(now);
		if (!this.#call && now >= this.#tableRetryAt) {
			this.#advanceTable(now);
		}
	}

	#advanceTable(now: number): void {
		this.#operation ??= this.#nextOperation(now);
		const operation = this.#operation;
		switch (operation?.type) {
			case 'claim': {
				this.#callTable(operation.claim.call(), now);
				break;
			}

			case 'lease': {
				const step = this.#lease.next(now);
				if (step.type === 'wait') {
					this.#operation = undefined;
					this.#leaseWaitUntil = step.until;
					this.#yieldToOwner();
				} else {
					this.#callTable(step, now);
				}

				break;
			}

			case 'removal':
			case 'return': {
				this.#callTable(operation.removal.call(), now);
				break;
			}

			case undefined: {
				break;
			}
		}
	}

	/** Another run of the sidecar acts for the endpoint by now: what this one meant to do is out of date. */
	#yieldToOwner(): void {
		if (this.#lease.wasHeld && this.#tasks.length > 0) {
			this.#tasks = [];
			this.#effects.push({type: 'log', event: 'lease lost', fields: {}});
		}
	}

	#nextOperation(now: number): Operation | undefined {
		const {endpoint} = this.#options;
		for (const schedule of this.#schedules) {
			const claim = this.#claims.get(schedule.name);
			if (claim) {
				return {type: 'claim', schedule, claim};
			}
		}

		const [model] = this.#returns;
		if (model !== undefined) {
			const removal = new Removal(model, endpoint);
			return {type: 'return', model, removal};
		}

		const [task] = this.#tasks;
		const [leaving] = task?.removals ?? [];
		if (task && leaving !== undefined) {
			const view = this.#models.find((each) => each.model === leaving);
			const removal = new Removal(leaving, endpoint, view?.serving ?? []);
			return {type: 'removal', task, removal};
		}

		const needsLease =
			task?.stage === 'command' &&
			!task.isWaiting &&
			now >= this.#leaseWaitUntil &&
			this.#lease.token(now) === undefined;
		return needsLease ? {type: 'lease'} : undefined;
	}

	#callTable(call: TableCall, now: number): void {
		const id = `lifecycle#${++this.#numbers}`;
		this.#call = {id, until: now + tableTimeoutMs};
		this.#effects.push({type: 'table', id, call});
	}

	#advanceTask(now: number): void {
		const [task] = this.#tasks;
		if (!task || task.isWaiting || now < task.notBefore) {
			return;
		}

		switch (task.stage) {
			case 'removal': {
				this.#advanceRemoval(task);
				break;
			}

			case 'grant': {
				this.#reserve(task);
				break;
			}

			case 'command': {
				this.#command(task, now);
				break;
			}

			case 'drain': {
				break;
			}
		}
	}

	/** A model without demand needs no claim; one of which nothing is known does. */
	#advanceRemoval(task: Task): void {
		while (
			this.#models.some(
				(view) => view.model === task.removals[0] && !view.hasDemand,
			)
		) {
			task.removals.shift();
		}

		if (task.removals.length > 0) {
			return;
		}

		switch (task.action.type) {
			case 'start': {
				this.#tasks.shift();
				if (this.#state === 'stopped') {
					this.#state = 'starting';
					this.#effects.push({type: 'startEngine'});
				}

				break;
			}

			case 'stop': {
				task.stage = 'drain';
				this.#state = 'draining';
				this.#effects.push({type: 'targets', models: []}, {type: 'leave'});
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

	#reserve(task: Task): void {
		if (task.action.type !== 'load') {
			return;
		}

		const {model, version} = task.action;
		const placement = this.#placements.find(
			(each) => each.model === model && each.version === version,
		);
		task.isWaiting = true;
		this.#effects.push({
			type: 'reserve',
			id: task.id,
			model,
			version,
			bytes: placement?.bytes ?? 0,
		});
	}

	/** Gives the command only under a lease that has time left now; after a pause it has not. */
	#command(task: Task, now: number): void {
		const fencingToken = this.#lease.token(now);
		const command =
			fencingToken === undefined
				? undefined
				: engineCommand(task.action, fencingToken);
		if (command) {
			task.isWaiting = true;
			const {validUntil} = this.#lease;
			this.#effects.push({type: 'command', id: task.id, command, validUntil});
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
