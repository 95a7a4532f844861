import type {Dispatcher} from 'undici';
import type {EndpointEvent, Execution} from '../ports/index.js';

/** Headers as undici delivers them. */
export type ResponseHeaders = Readonly<
	Record<string, string | string[] | undefined>
>;

/** Reports one HTTP answer as endpoint events; reports nothing more after `cancel` or the last event. */
export abstract class DispatchStream
	implements Dispatcher.DispatchHandler, Execution
{
	readonly #onEvent: (event: EndpointEvent) => void;
	#controller: Dispatcher.DispatchController | undefined;
	/** The request was assigned a connection, so that part of it may have been sent. */
	#hasConnection = false;
	#hasEnded = false;

	constructor(onEvent: (event: EndpointEvent) => void) {
		this.#onEvent = onEvent;
	}

	protected abstract readHead(status: number, headers: ResponseHeaders): void;
	protected abstract readData(chunk: Uint8Array): void;
	/** Called when the whole body has been received. */
	protected abstract readEnd(): void;

	cancel(): void {
		this.#hasEnded = true;
		this.#controller?.abort(new Error('cancelled'));
	}

	pause(): void {
		this.#controller?.pause();
	}

	resume(): void {
		this.#controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#hasEnded) {
			controller.abort(new Error('cancelled'));
			return;
		}

		this.#hasConnection = true;
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		headers: ResponseHeaders,
	): void {
		this.readHead(status, headers);
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		this.readData(chunk);
	}

	onResponseEnd(): void {
		this.readEnd();
	}

	onResponseError(
		controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		this.report({
			type: 'error',
			sent: this.#hasConnection,
			reason: error.message,
		});
	}

	/** Passes an event to the listener; `end` or `error` is the last one. */
	protected report(event: EndpointEvent): void {
		if (this.#hasEnded) {
			return;
		}

		this.#hasEnded = event.type === 'end' || event.type === 'error';
		this.#onEvent(event);
	}
}
