import type {Random} from '../../base/index.js';
import type {Call, EndpointEvent, ResumePoint} from '../../interfaces/index.js';
import type {VirtualClock} from '../virtual-clock.js';
import {
	countTokens,
	answerSpecSchema,
	requestHeader,
	formatToken,
	type AnswerSpec,
} from './answer.js';
import type {Execution, History} from './history.js';

/** Concurrent runs up to which an endpoint keeps its full speed; more runs share it. */
const maxFullSpeedRuns = 8;

type Run = {
	readonly execution: Execution;
	readonly spec: AnswerSpec;
	text: string;
	position: number;
	paused: boolean;
	waiting: boolean;
	/** Undefined once the sidecar has closed the connection or ended. */
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

/** Simulated engine or plain service. An engine resumes answers and stops cancelled ones; a service does neither. */
export class FakeEndpoint {
	readonly #options: FakeEndpointOptions;
	readonly #runs = new Map<string, Run>();
	readonly #closedBeforeArrival = new Set<string>();
	#isDown = false;
	#slowness = 1;

	constructor(options: FakeEndpointOptions) {
		this.#options = options;
	}

	get running(): number {
		return this.#runs.size;
	}

	/** Names of the connections with a prefix, which identifies a sidecar, whose calls are in progress and that it has not closed. */
	connections(prefix: string): string[] {
		return [...this.#runs]
			.filter(([name, run]) => name.startsWith(prefix) && run.onEvent)
			.map(([name]) => name);
	}

	/** Sends a call to the endpoint; `connection` identifies the run of the sidecar that it belongs to. */
	run(
		connection: string,
		call: Call,
		resume: ResumePoint | undefined,
		onEvent: (event: EndpointEvent) => void,
	): void {
		const {clock, random} = this.#options;
		clock.after(0.1 + random.next(), () => {
			this.#startRun(connection, call, resume, onEvent);
		});
	}

	/** Closes the connection of a call. */
	stop(connection: string): void {
		const run = this.#runs.get(connection);
		if (!run) {
			this.#closedBeforeArrival.add(connection);
			return;
		}

		run.onEvent = undefined;
		if (this.#options.kind === 'engine') {
			this.#finish(connection, run, 'cancelled');
		}
	}

	/** Closes all connections of a sidecar that has ended. */
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
				this.#scheduleStep(connection, run);
			}
		}
	}

	setSlowness(factor: number): void {
		this.#slowness = factor;
	}

	crash(): void {
		this.#isDown = true;
		for (const [connection, run] of this.#runs) {
			this.#finish(connection, run, 'crashed');
			run.onEvent?.({type: 'error', sent: true, reason: 'connection reset'});
		}
	}

	restart(): void {
		this.#isDown = false;
	}

	#startRun(
		connection: string,
		call: Call,
		resume: ResumePoint | undefined,
		onEvent: (event: EndpointEvent) => void,
	): void {
		if (this.#closedBeforeArrival.delete(connection)) {
			return;
		}

		if (this.#isDown) {
			onEvent({type: 'error', sent: false, reason: 'connection refused'});
			return;
		}

		const {clock, history, kind, name} = this.#options;
		const spec = answerSpecSchema.parse(JSON.parse(call.body));
		const request = call.headers[requestHeader]!;
		const execution: Execution = {
			number: history.executed.length,
			request,
			identity: spec.identity,
			keyed: spec.keyed,
			endpoint: name,
			at: clock.now,
			endedAt: undefined,
			end: undefined,
			tokensAt: [],
		};
		history.executed.push(execution);
		history.lines.push(
			`${clock.now.toFixed(1)} ${name} executes ${connection} for ${request}`,
		);
		const text = kind === 'engine' ? (resume?.text ?? '') : '';
		const run: Run = {
			execution,
			spec,
			text,
			position: countTokens(text),
			paused: false,
			waiting: false,
			onEvent,
		};
		this.#runs.set(connection, run);
		clock.after(this.#stepMs() * 2, () => {
			if (this.#runs.get(connection) === run) {
				run.onEvent?.({type: 'head', status: 200, headers: {}, binary: false});
				this.#scheduleStep(connection, run);
			}
		});
	}

	#scheduleStep(connection: string, run: Run): void {
		if (run.position >= run.spec.length) {
			this.#finish(connection, run, 'whole');
			run.onEvent?.({type: 'end'});
			return;
		}

		this.#options.clock.after(this.#stepMs(), () => {
			this.#emitTokens(connection, run);
		});
	}

	#emitTokens(connection: string, run: Run): void {
		if (this.#runs.get(connection) !== run) {
			return;
		}

		if (run.paused) {
			run.waiting = true;
			return;
		}

		const {random, clock} = this.#options;
		const count = Math.min(
			run.spec.length - run.position,
			1 + random.integer(3),
		);
		let data = '';
		for (let n = 0; n < count; n++) {
			data += formatToken(
				run.spec.identity,
				run.position,
				run.text + data,
				run.execution.number,
			);
			run.position++;
			run.execution.tokensAt.push(clock.now);
		}

		run.text += data;
		run.onEvent?.({type: 'chunk', data, tokens: count});
		this.#scheduleStep(connection, run);
	}

	#stepMs(): number {
		const loadFactor = Math.max(1, this.#runs.size / maxFullSpeedRuns);
		return this.#options.gapMs * this.#slowness * loadFactor;
	}

	#finish(
		connection: string,
		run: Run,
		end: 'whole' | 'cancelled' | 'crashed',
	): void {
		run.execution.end = end;
		run.execution.endedAt = this.#options.clock.now;
		this.#runs.delete(connection);
	}
}
