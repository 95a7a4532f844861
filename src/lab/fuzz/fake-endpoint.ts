import type {Random} from '../../base/index.js';
import type {Call, EndpointEvent, ResumePoint} from '../../interfaces/index.js';
import type {VirtualClock} from '../virtual-clock.js';
import {
	countTokens,
	orderSchema,
	requestHeader,
	token,
	type Order,
} from './answer.js';
import type {Executed, History} from './history.js';

/** Runs that an engine computes at full speed; more share it. */
const fullSpeedRuns = 8;

type Run = {
	readonly executed: Executed;
	readonly order: Order;
	text: string;
	position: number;
	paused: boolean;
	waiting: boolean;
	/** Undefined after the sidecar has gone. */
	onEvent: ((event: EndpointEvent) => void) | undefined;
};

export type FakeEndpointOptions = {
	readonly name: string;
	readonly kind: 'engine' | 'service';
	readonly clock: VirtualClock;
	readonly history: History;
	readonly random: Random;
	/** Time for one step of the batch, in milliseconds. */
	readonly gapMs: number;
};

/** Engine or plain service in virtual time. An engine continues answers and stops cancelled ones; a service does neither. */
export class FakeEndpoint {
	readonly #options: FakeEndpointOptions;
	readonly #runs = new Map<string, Run>();
	readonly #revoked = new Set<string>();
	#down = false;
	#slowness = 1;

	constructor(options: FakeEndpointOptions) {
		this.#options = options;
	}

	get running(): number {
		return this.#runs.size;
	}

	/** Calls of a sidecar that are in progress and that it has not closed. */
	connections(prefix: string): string[] {
		return [...this.#runs]
			.filter(([name, run]) => name.startsWith(prefix) && run.onEvent)
			.map(([name]) => name);
	}

	/** Sends a call; `connection` names the sidecar's run of it. */
	run(
		connection: string,
		call: Call,
		resume: ResumePoint | undefined,
		onEvent: (event: EndpointEvent) => void,
	): void {
		const {clock, random} = this.#options;
		clock.after(0.1 + random.next(), () => {
			this.#arrive(connection, call, resume, onEvent);
		});
	}

	/** Closes the connection of a call. */
	stop(connection: string): void {
		const run = this.#runs.get(connection);
		if (!run) {
			this.#revoked.add(connection);
			return;
		}

		run.onEvent = undefined;
		if (this.#options.kind === 'engine') {
			this.#finish(connection, run, 'cancelled');
		}
	}

	/** Closes all connections of a sidecar that has gone. */
	stopAll(prefix: string): void {
		for (const connection of this.#runs.keys()) {
			if (connection.startsWith(prefix)) {
				this.stop(connection);
			}
		}
	}

	setPaused(connection: string, paused: boolean): void {
		const run = this.#runs.get(connection);
		if (run) {
			run.paused = paused;
			if (!paused && run.waiting) {
				run.waiting = false;
				this.#next(connection, run);
			}
		}
	}

	setSlowness(factor: number): void {
		this.#slowness = factor;
	}

	crash(): void {
		this.#down = true;
		for (const [connection, run] of this.#runs) {
			this.#finish(connection, run, 'crashed');
			run.onEvent?.({type: 'error', sent: true, reason: 'connection reset'});
		}
	}

	restart(): void {
		this.#down = false;
	}

	#arrive(
		connection: string,
		call: Call,
		resume: ResumePoint | undefined,
		onEvent: (event: EndpointEvent) => void,
	): void {
		if (this.#revoked.delete(connection)) {
			return;
		}

		if (this.#down) {
			onEvent({type: 'error', sent: false, reason: 'connection refused'});
			return;
		}

		const {clock, history, kind, name} = this.#options;
		const order = orderSchema.parse(JSON.parse(call.body));
		const request = call.headers[requestHeader]!;
		const executed: Executed = {
			number: history.executed.length,
			request,
			identity: order.identity,
			keyed: order.keyed,
			endpoint: name,
			at: clock.now,
			endedAt: undefined,
			end: undefined,
			tokensAt: [],
		};
		history.executed.push(executed);
		history.lines.push(
			`${clock.now.toFixed(1)} ${name} executes ${connection} for ${request}`,
		);
		const text = kind === 'engine' ? (resume?.text ?? '') : '';
		const run: Run = {
			executed,
			order,
			text,
			position: countTokens(text),
			paused: false,
			waiting: false,
			onEvent,
		};
		this.#runs.set(connection, run);
		clock.after(this.#gap() * 2, () => {
			if (this.#runs.get(connection) === run) {
				run.onEvent?.({type: 'head', status: 200, headers: {}, binary: false});
				this.#next(connection, run);
			}
		});
	}

	#next(connection: string, run: Run): void {
		if (run.position >= run.order.length) {
			this.#finish(connection, run, 'whole');
			run.onEvent?.({type: 'end'});
			return;
		}

		this.#options.clock.after(this.#gap(), () => {
			this.#emit(connection, run);
		});
	}

	#emit(connection: string, run: Run): void {
		if (this.#runs.get(connection) !== run) {
			return;
		}

		if (run.paused) {
			run.waiting = true;
			return;
		}

		const {random, clock} = this.#options;
		const count = Math.min(
			run.order.length - run.position,
			1 + random.integer(3),
		);
		let data = '';
		for (let n = 0; n < count; n++) {
			data += token(
				run.order.identity,
				run.position,
				run.text + data,
				run.executed.number,
			);
			run.position++;
			run.executed.tokensAt.push(clock.now);
		}

		run.text += data;
		run.onEvent?.({type: 'chunk', data, tokens: count});
		this.#next(connection, run);
	}

	#gap(): number {
		const crowd = Math.max(1, this.#runs.size / fullSpeedRuns);
		return this.#options.gapMs * this.#slowness * crowd;
	}

	#finish(
		connection: string,
		run: Run,
		end: 'whole' | 'cancelled' | 'crashed',
	): void {
		run.executed.end = end;
		run.executed.endedAt = this.#options.clock.now;
		this.#runs.delete(connection);
	}
}
