import type {EndpointEvent, LoadReport} from '../interfaces/index.js';
import type {VirtualClock} from './virtual-clock.js';

type ServiceCall = {
	readonly durationMs: number;
	readonly onEvent: (event: EndpointEvent) => void;
};

/** Plain service in virtual time with a fixed concurrency; further calls wait. */
export class FakeService {
	/** Number of runs by request id. */
	readonly runs = new Map<string, number>();
	readonly #clock: VirtualClock;
	readonly #concurrency: number;
	readonly #waiting: ServiceCall[] = [];
	#running = 0;

	constructor(clock: VirtualClock, concurrency: number) {
		this.#clock = clock;
		this.#concurrency = concurrency;
	}

	start(
		requestId: string,
		durationMs: number,
		onEvent: (event: EndpointEvent) => void,
	): void {
		this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
		this.#waiting.push({durationMs, onEvent});
		this.#startWaiting();
	}

	load(): LoadReport {
		return {
			running: this.#running,
			waiting: this.#waiting.length,
			kvTokens: 0,
			kvCapacity: 0,
		};
	}

	#startWaiting(): void {
		while (this.#running < this.#concurrency && this.#waiting.length > 0) {
			const {durationMs, onEvent} = this.#waiting.shift()!;
			this.#running++;
			this.#clock.after(durationMs, () => {
				this.#running--;
				onEvent({type: 'head', status: 200, headers: {}, binary: false});
				onEvent({type: 'chunk', data: '0', tokens: 0});
				onEvent({type: 'end'});
				this.#startWaiting();
			});
		}
	}
}
