import type {Disposable} from '../../base/index.js';

/** Time after the first output for which an endpoint must live until the request counts as harmless, in milliseconds. */
const survivalMs = 250;

/** Finds out whether an endpoint lives on after it has begun to answer a request. Only a watch that has run to its end shows this, not the time: after a pause of this process, timers run before the close of a connection is read. */
export class SurvivalWatch implements Disposable {
	/** The endpoint has lived on for long enough. */
	hasSurvived = false;
	#timer: NodeJS.Timeout | undefined;
	#isDisposed = false;
	readonly #readSockets: () => Promise<void>;
	readonly #onDidSurvive: () => void;

	/** `readSockets` resolves when all data that has arrived has been read. */
	constructor(readSockets: () => Promise<void>, onDidSurvive: () => void) {
		this.#readSockets = readSockets;
		this.#onDidSurvive = onDidSurvive;
	}

	/** Called at the first output. */
	start(): void {
		this.#timer = setTimeout(() => {
			void this.#end();
		}, survivalMs);
	}

	/** Called when the send has ended. */
	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#timer);
	}

	async #end(): Promise<void> {
		await this.#readSockets();
		if (!this.#isDisposed) {
			this.hasSurvived = true;
			this.#onDidSurvive();
		}
	}
}
