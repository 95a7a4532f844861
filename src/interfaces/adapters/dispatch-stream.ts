import type {Dispatcher} from 'undici';
import type {EndpointEvent, Execution} from '../ports/index.js';

/** Headers as undici delivers them. */
export type ResponseHeaders = Readonly<
	Record<string, string | string[] | undefined>
>;

/** Statuses whose answers have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Reports one HTTP answer as endpoint events; reports nothing more after `cancel` or the last event. */
export abstract class DispatchStream
	implements Dispatcher.DispatchHandler, Execution
{
	readonly #onEvent: (event: EndpointEvent) => void;
	readonly #method: string;
	#controller: Dispatcher.DispatchController | undefined;
	/** The request was assigned a connection, so that part of it may have been sent. */
	#hasConnection = false;
	#hasEnded = false;
	/** The body has neither a length nor chunks and ends with its connection. */
	#isCloseDelimited = false;

	constructor(method: string, onEvent: (event: EndpointEvent) => void) {
		this.#method = method;
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
		this.#isCloseDelimited =
			this.#method !== 'HEAD' &&
			!bodilessStatuses.has(status) &&
			headers['content-length'] === undefined &&
			headers['transfer-encoding'] === undefined;
		this.readHead(status, headers);
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		this.readData(chunk);
	}

	/** Undici reports a reset as the end of a close-delimited body, so none of these is known to be whole. */
	onResponseEnd(): void {
		if (this.#isCloseDelimited) {
			this.report({
				type: 'error',
				sent: true,
				reason: 'the answer has neither a length nor chunks',
			});
			return;
		}

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
