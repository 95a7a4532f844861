import type {
	DutyReading,
	DutyWriteResult,
} from '../../interfaces/ports/index.js';
import type {Clocks} from '../gateway/confirmation.js';
import type {LeaseNotice, LeaseOptions, LeaseWrite} from './lease-calls.js';
import {Lease} from './lease.js';
import {SimulatedStore} from './simulated-store.js';

/** Simulated time between two steps, in milliseconds. */
export const stepMs = 100;

export const leaseMs = 3000;
export const marginMs = 300;

/** What happens to the calls of a gateway to the store. */
export type CallFault =
	| 'none'
	/** Nothing is done, and there is no answer. */
	| 'unreachable'
	/** A write is done, and there is no answer. */
	| 'answer lost'
	/** A write is done after some seconds if its condition then holds, and there is no answer. */
	| 'late'
	/** The answer takes a second. */
	| 'slow';

/** Events of a schedule; `gateway` is an index. */
export type LeaseEvent =
	| {
			readonly type: 'store';
			readonly gateway: number;
			readonly fault: CallFault;
	  }
	/** The machine stands still; its monotonic clock does so too. */
	| {readonly type: 'suspend'; readonly gateway: number; readonly ms: number}
	/** The process is killed and starts again. */
	| {readonly type: 'restart'; readonly gateway: number}
	| {readonly type: 'stop'; readonly gateway: number}
	/** The time of day jumps. */
	| {
			readonly type: 'clock step';
			readonly gateway: number;
			readonly ms: number;
	  }
	/** Heartbeats to and from this gateway are lost, or arrive again. */
	| {
			readonly type: 'cut off';
			readonly gateway: number;
			readonly isCut: boolean;
	  }
	| {readonly type: 'back up'}
	| {readonly type: 'restore'}
	| {readonly type: 'nothing'};

/** Deliberate faults of a simulation, each of which the properties must catch. */
export type LeaseVariant = {
	readonly createLease?: (options: LeaseOptions, now: Clocks) => Lease;
	/** The holder counts from the answer of a write. */
	readonly countsFromAnswer?: boolean;
	/** Processes take their time of day from the monotonic clock. */
	readonly hasOneClock?: boolean;
	/** The store does writes without their condition. */
	readonly writesAlways?: boolean;
	/** Processes do not notice that the store was restored. */
	readonly ignoresEra?: boolean;
};

/** State for the next write of the row, and whether it is urgent. */
export type DutyState = {readonly state: unknown; readonly hasNews: boolean};

type Delayed = {readonly at: number; readonly run: () => void};

/** One gateway of a simulation. */
export class SimulatedGateway {
	lease: Lease;
	fault: CallFault = 'none';
	isStopping = false;
	isCutOff = false;
	suspendedUntil = 0;
	incarnation = 0;
	#suspendedMs = 0;
	#stepMs: number;
	#inbox: Array<() => void> = [];
	#isCalling = false;

	constructor(
		readonly index: number,
		private readonly world: LeaseSimulation,
	) {
		// Clocks of different machines have nothing in common.
		this.#stepMs = index * 7777;
		this.lease = this.#createLease();
	}

	get clocks(): Clocks {
		const monotonicMs =
			this.world.now - this.#suspendedMs + this.index * 1_000_000;
		return {
			monotonicMs,
			wallMs: this.world.variant.hasOneClock
				? monotonicMs
				: this.world.now + this.#stepMs,
		};
	}

	get isRunning(): boolean {
		return this.world.now >= this.suspendedUntil;
	}

	suspend(ms: number): void {
		if (this.isRunning) {
			this.suspendedUntil = this.world.now + ms;
			this.#suspendedMs += ms;
		}
	}

	stepClock(ms: number): void {
		this.#stepMs += ms;
	}

	restart(): void {
		this.incarnation++;
		this.isStopping = false;
		this.#inbox = [];
		this.#isCalling = false;
		this.lease = this.#createLease();
	}

	/** Runs something in the process when it next runs, unless it is restarted before. */
	deliver(run: () => void): void {
		this.#inbox.push(run);
	}

	/** Handles the answers that have arrived, and sends the call that is due. */
	step(stateOf: () => DutyState): void {
		for (const run of this.#inbox.splice(0)) {
			run();
		}

		if (this.#isCalling) {
			return;
		}

		const {lease, clocks} = this;
		const {state, hasNews} = stateOf();
		const call = lease.dueCall(clocks, this.index, {
			hasNews,
			isStopping: this.isStopping,
		});
		switch (call) {
			case 'none': {
				break;
			}

			case 'read': {
				this.#call(
					() => this.world.read(),
					(reading) => {
						lease.read(reading, this.clocks);
					},
				);
				break;
			}

			case 'acquire':
			case 'renew':
			case 'release': {
				const write = lease.compose(call, state, clocks);
				this.#call(
					() => this.world.write(write),
					(result) => {
						lease.written(
							this.world.variant.countsFromAnswer
								? {...write, sentAt: this.clocks}
								: write,
							result,
							this.clocks,
						);
					},
				);
				break;
			}
		}
	}

	#call<Answer>(done: () => Answer, onAnswer: (answer: Answer) => void): void {
		const {world, incarnation} = this;
		const reply = (delayMs: number, run: () => void) => {
			this.#isCalling = true;
			world.after(delayMs, () => {
				this.deliver(() => {
					if (this.incarnation === incarnation) {
						this.#isCalling = false;
						run();
					}
				});
			});
		};

		const fail = () => {
			this.lease.failed(this.clocks);
		};

		switch (this.fault) {
			case 'none': {
				const answer = done();
				reply(stepMs, () => {
					onAnswer(answer);
				});
				break;
			}

			case 'slow': {
				const answer = done();
				reply(900, () => {
					onAnswer(answer);
				});
				break;
			}

			case 'unreachable': {
				reply(1000, fail);
				break;
			}

			case 'answer lost': {
				done();
				reply(1000, fail);
				break;
			}

			case 'late': {
				world.after(2500, () => {
					done();
				});
				reply(1000, fail);
				break;
			}
		}
	}

	#createLease(): Lease {
		const {createLease} = this.world.variant;
		const options = {
			holder: `g${this.index}`,
			incarnation: `g${this.index}-${this.incarnation}`,
			leaseMs,
			marginMs,
		};
		return createLease
			? createLease(options, this.clocks)
			: new Lease(options, this.clocks);
	}
}

/** Gateways that share one lease, with simulated clocks, store and datagrams. */
export class LeaseSimulation {
	now = 0;
	readonly gateways: SimulatedGateway[];
	readonly #store: SimulatedStore;
	#delayed: Delayed[] = [];
	#heartbeatAt = 0;

	constructor(
		count: number,
		readonly variant: LeaseVariant,
		/** State that a gateway writes into the row, and whether it is urgent. */
		private readonly stateOf: (gateway: SimulatedGateway) => DutyState,
		/** Called for each gateway that runs, after it has handled its answers. */
		private readonly onStep: (gateway: SimulatedGateway) => void,
	) {
		this.#store = new SimulatedStore(variant.writesAlways ?? false);
		this.gateways = Array.from(
			{length: count},
			(_, index) => new SimulatedGateway(index, this),
		);
	}

	after(ms: number, run: () => void): void {
		this.#delayed.push({at: this.now + ms, run});
	}

	read(): DutyReading {
		return this.#seen(this.#store.read());
	}

	write(write: LeaseWrite): DutyWriteResult {
		return this.#seen(this.#store.write(write));
	}

	apply(event: LeaseEvent): void {
		switch (event.type) {
			case 'store': {
				this.gateways[event.gateway]!.fault = event.fault;
				break;
			}

			case 'suspend': {
				this.gateways[event.gateway]!.suspend(event.ms);
				break;
			}

			case 'restart': {
				this.gateways[event.gateway]!.restart();
				break;
			}

			case 'stop': {
				this.gateways[event.gateway]!.isStopping = true;
				break;
			}

			case 'clock step': {
				this.gateways[event.gateway]!.stepClock(event.ms);
				break;
			}

			case 'cut off': {
				this.gateways[event.gateway]!.isCutOff = event.isCut;
				break;
			}

			case 'back up': {
				this.#store.backUp();
				break;
			}

			case 'restore': {
				this.#store.restore();
				break;
			}

			case 'nothing': {
				break;
			}
		}
	}

	/** Ends all faults; gateways that stopped start again. */
	heal(): void {
		for (const gateway of this.gateways) {
			gateway.fault = 'none';
			gateway.isCutOff = false;
			if (gateway.isStopping) {
				gateway.restart();
			}
		}
	}

	run(ms: number): void {
		for (const end = this.now + ms; this.now < end; this.now += stepMs) {
			const due = this.#delayed.filter(({at}) => at <= this.now);
			this.#delayed = this.#delayed.filter(({at}) => at > this.now);
			for (const {run} of due) {
				run();
			}

			for (const gateway of this.gateways) {
				if (gateway.isRunning) {
					gateway.step(() => this.stateOf(gateway));
					this.onStep(gateway);
				}
			}

			this.#sendHeartbeats();
		}
	}

	#sendHeartbeats(): void {
		if (this.now < this.#heartbeatAt) {
			return;
		}

		this.#heartbeatAt = this.now + 500;
		for (const sender of this.gateways) {
			const notice = sender.isRunning && sender.lease.notice(sender.clocks);
			if (notice && !sender.isCutOff) {
				this.#broadcast(sender, notice);
			}
		}
	}

	#broadcast(sender: SimulatedGateway, notice: LeaseNotice): void {
		for (const receiver of this.gateways) {
			if (receiver !== sender && !receiver.isCutOff) {
				receiver.deliver(() => {
					receiver.lease.hear(notice, receiver.clocks);
				});
			}
		}
	}

	#seen<Answer extends {readonly era: number}>(answer: Answer): Answer {
		return this.variant.ignoresEra ? {...answer, era: 1} : answer;
	}
}
