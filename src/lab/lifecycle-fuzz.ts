import {Random} from '../base/index.js';
import {scheduleSchema} from '../interfaces/index.js';
import {MemoryTable} from '../interfaces/standins/index.js';
import {
	dueOccurrence,
	Lifecycle,
	occurrenceKey,
	type LifecycleEffect,
	type LifecycleInput,
	type LifecycleOptions,
} from '../services/index.js';
import {FaultyTable, longestCommitDelayMs} from './faulty-table.js';
import {VirtualClock} from './virtual-clock.js';

/** One step of a scenario; times are in milliseconds of virtual time. Two sidecars act for one endpoint, as after a replacement of a paused one. */
export type LifecycleAction =
	| {readonly type: 'kill'; readonly sidecar: number}
	| {readonly type: 'pause'; readonly sidecar: number; readonly ms: number}
	| {readonly type: 'outage'; readonly ms: number}
	| {readonly type: 'uncertain'; readonly part: number}
	| {readonly type: 'clockStep'; readonly ms: number}
	| {readonly type: 'wait'; readonly ms: number};

export type LifecycleScenario = {
	readonly seed: number;
	readonly actions: readonly LifecycleAction[];
};

export type LifecycleMachine = Pick<Lifecycle, 'handle'>;
export type LifecycleVariant = (options: LifecycleOptions) => LifecycleMachine;

/** A broken promise: its name and what was seen. */
export type LifecycleViolation = {
	readonly promise:
		| 'schedule fires once'
		| 'older fencing token never executes'
		| 'schedule fires late';
	readonly detail: string;
};

const endpoint = 'e1';
const sidecars = 2;
const wallStart = Date.parse('2026-01-01T06:00:00Z');
/** Several schedules, so that both sidecars often have something to do. */
const schedules = [10, 30, 50].map((second) =>
	scheduleSchema.parse({
		schema: 1,
		kind: 'schedule',
		name: `s${second}`,
		endpoints: [endpoint],
		action: {type: 'load', model: 'm', version: '1'},
		startsAt: `2026-01-01T06:00:${second}Z`,
		everyMinutes: 1,
	}),
);
const tickMs = 1000;
/** Longest time between a command's effect and its arrival at the engine; below the margin of the lease. */
const longestSendMs = 1500;
const healMs = 120_000;

type Sidecar = {
	run: number;
	machine: LifecycleMachine;
	pausedUntil: number;
	/** Inputs that arrived during the pause, in order. */
	inbox: LifecycleInput[];
};

/** Runs sidecars of one endpoint through a scenario; the engine ignores fencing tokens. */
export class LifecycleFuzz {
	readonly violations: LifecycleViolation[] = [];
	readonly #clock = new VirtualClock();
	readonly #random: Random;
	readonly #rows = new MemoryTable();
	readonly #table: FaultyTable;
	readonly #sidecars: Sidecar[];
	readonly #variant: LifecycleVariant;
	readonly #fired = new Set<string>();
	readonly #executed = new Set<string>();
	#highestToken = 0;
	#wallOffset = 0;

	constructor(
		scenario: LifecycleScenario,
		variant: LifecycleVariant = (options) => new Lifecycle(options),
	) {
		this.#random = new Random(scenario.seed);
		this.#table = new FaultyTable(this.#rows, this.#clock, this.#random);
		this.#variant = variant;
		this.#sidecars = Array.from({length: sidecars}, (_, index) => ({
			run: 0,
			machine: this.#machine(index, 0),
			pausedUntil: 0,
			inbox: [],
		}));
		for (let index = 0; index < sidecars; index++) {
			this.#start(index);
			this.#tick(index);
		}

		for (const action of scenario.actions) {
			this.#act(action);
		}

		this.#heal();
	}

	/** Commands that the engine has executed. */
	get executed(): number {
		return this.#executed.size;
	}

	get #wallMs(): number {
		return wallStart + this.#clock.now + this.#wallOffset;
	}

	#run(ms: number): void {
		this.#clock.runUntil(this.#clock.now + ms);
	}

	#act(action: LifecycleAction): void {
		switch (action.type) {
			case 'kill': {
				this.#start(action.sidecar);
				break;
			}

			case 'pause': {
				const until = this.#clock.now + action.ms;
				this.#sidecars[action.sidecar]!.pausedUntil = until;
				break;
			}

			case 'outage': {
				this.#table.isDown = true;
				this.#run(action.ms);
				this.#table.isDown = false;
				break;
			}

			case 'uncertain': {
				this.#table.uncertain = action.part;
				break;
			}

			case 'clockStep': {
				this.#wallOffset += action.ms;
				break;
			}

			case 'wait': {
				this.#run(action.ms);
				break;
			}
		}
	}

	#heal(): void {
		this.#table.uncertain = 0;
		this.#run(healMs + longestCommitDelayMs);
		for (const schedule of schedules) {
			const due = dueOccurrence(schedule, this.#wallMs - 10 * tickMs);
			const key = due && occurrenceKey(schedule.name, due, endpoint);
			if (key !== undefined && this.#rows.readNow(key) === undefined) {
				const detail = `${key} has not fired`;
				this.violations.push({promise: 'schedule fires late', detail});
			}
		}
	}

	#machine(index: number, run: number): LifecycleMachine {
		const random = new Random(this.#random.integer(2 ** 30));
		return this.#variant({endpoint, incarnation: `${index}.${run}`, random});
	}

	#start(index: number): void {
		const sidecar = this.#sidecars[index]!;
		sidecar.run++;
		sidecar.machine = this.#machine(index, sidecar.run);
		sidecar.inbox = [];
		sidecar.pausedUntil = 0;
		const placements = [] as const;
		this.#tell(index, {type: 'records', schedules, placements});
		this.#tell(index, {type: 'engineUp', loaded: []});
	}

	#tick(index: number): void {
		const sidecar = this.#sidecars[index]!;
		if (sidecar.pausedUntil <= this.#clock.now) {
			for (const input of sidecar.inbox.splice(0)) {
				this.#tell(index, input);
			}

			this.#tell(index, {type: 'tick', wallMs: this.#wallMs});
		}

		this.#clock.after(tickMs, () => {
			this.#tick(index);
		});
	}

	#tell(index: number, input: LifecycleInput): void {
		const sidecar = this.#sidecars[index]!;
		if (sidecar.pausedUntil > this.#clock.now) {
			sidecar.inbox.push(input);
			return;
		}

		const {run} = sidecar;
		const reply = (answer: LifecycleInput) => {
			if (sidecar.run === run) {
				this.#tell(index, answer);
			}
		};

		for (const effect of sidecar.machine.handle(input, this.#clock.now)) {
			this.#carryOut(sidecar, effect, reply);
		}
	}

	#carryOut(
		sidecar: Sidecar,
		effect: LifecycleEffect,
		reply: (answer: LifecycleInput) => void,
	): void {
		switch (effect.type) {
			case 'table': {
				const {id} = effect;
				this.#table.call(effect.call, (answer) => {
					reply({type: 'table', id, answer});
				});
				break;
			}

			case 'reserve': {
				const waitMs = this.#random.integer(3) * 1000;
				reply({type: 'grant', id: effect.id, waitMs});
				break;
			}

			case 'command': {
				this.#send(sidecar, effect, reply);
				break;
			}

			case 'warm': {
				reply({type: 'warmed'});
				break;
			}

			case 'log': {
				if (effect.event === 'schedule fired') {
					this.#onFired(String(effect.fields.key));
				}

				break;
			}

			case 'count':
			case 'timing':
			case 'startEngine':
			case 'stopEngine':
			case 'leave':
			case 'targets': {
				break;
			}
		}
	}

	/** The daemon sends a command at once, or drops it when a pause came in between. */
	#send(
		sidecar: Sidecar,
		effect: Extract<LifecycleEffect, {type: 'command'}>,
		reply: (answer: LifecycleInput) => void,
	): void {
		const {id, command, validUntil} = effect;
		if (sidecar.pausedUntil > this.#clock.now) {
			this.#clock.at(sidecar.pausedUntil, () => {
				this.#send(sidecar, effect, reply);
			});
		} else if (this.#clock.now >= validUntil) {
			reply({type: 'commandEnded', id, result: 'failed'});
		} else {
			this.#clock.after(this.#random.next() * longestSendMs, () => {
				this.#execute(id, command.fencingToken);
				reply({type: 'commandEnded', id, result: 'done'});
			});
		}
	}

	#execute(id: string, token: number): void {
		if (token < this.#highestToken) {
			const detail = `token ${token} after ${this.#highestToken}`;
			const promise = 'older fencing token never executes';
			this.violations.push({promise, detail});
		}

		if (this.#executed.has(id)) {
			const detail = `command ${id} executed twice`;
			this.violations.push({promise: 'schedule fires once', detail});
		}

		this.#executed.add(id);
		this.#highestToken = Math.max(this.#highestToken, token);
	}

	#onFired(key: string): void {
		if (this.#fired.has(key)) {
			const detail = `${key} fired twice`;
			this.violations.push({promise: 'schedule fires once', detail});
		}

		this.#fired.add(key);
	}
}
