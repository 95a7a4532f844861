import type {Dispatcher} from 'undici';
import type {EndpointEvent, Execution} from '../ports/index.js';

/** Headers as undici delivers them. */
export type ResponseHeaders = Readonly<
	Record<string, string | string[] | undefined>
>;

/** One HTTP answer as a stream of endpoint events; after `cancel` or the last event nothing more is reported. */
export abstract class DispatchStream
	implements Dispatcher.DispatchHandler, Execution
{
	readonly #onEvent: (event: EndpointEvent) => void;
	#controller: Dispatcher.DispatchController | undefined;
	/** The request has a connection, so that bytes of it may have left. */
	#sent = false;
	#ended = false;

	constructor(onEvent: (event: EndpointEvent) => void) {
		this.#onEvent = onEvent;
	}

	protected abstract readHead(status: number, headers: ResponseHeaders): void;
	protected abstract readData(chunk: Uint8Array): void;
	/** The answer's connection has delivered the whole body. */
	protected abstract readEnd(): void;

	cancel(): void {
		this.#ended = true;
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
		if (this.#ended) {
			controller.abort(new Error('cancelled'));
			return;
		}

		this.#sent = true;
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
		this.report({type: 'error', sent: this.#sent, reason: error.message});
	}

	/** Hands an event on; `end` and `error` are the last one. */
	protected report(event: EndpointEvent): void {
		if (this.#ended) {
			return;
		}

		this.#ended = event.type === 'end' || event.type === 'error';
		this.#onEvent(event);
	}
}
