import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {
	AnswerHead,
	HttpFormat,
	RawHeaders,
} from '../../interfaces/index.js';
import {
	EventSplitter,
	livenessOfConnection,
	type GoneCause,
	type SendEnd,
	type Upstream,
} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import type {CallerOutput} from './caller-output.js';
import {IdleWatch, type IdleWatchOptions} from './idle-watch.js';
import type {Connection, ConnectionPool} from './connection-pool.js';
import {
	decodeRawHeaders,
	hasContentLength,
	isDelimited,
} from './raw-headers.js';

/** Maximum size of a response, or of an event of a stream, that is buffered until it is complete, in bytes. A larger response is forwarded as it arrives, and a retry can no longer replace it; a larger event or refusal is aborted. */
const maxBufferedBytes = 256 * 1024;

/** Buffered bytes below which they are part of the charge for the request, in bytes. */
const minHeldBytes = 8 * 1024;

const statusOk = 200;
export const firstNonSuccessStatus = 300;
const serviceUnavailable = 503;

/** Statuses by which a caller concludes that its request has not run. */
const notRunStatuses: ReadonlySet<number> = new Set([
	408,
	421,
	429,
	serviceUnavailable,
]);

/** Reasons in the log and in answers for each way in which an endpoint is gone. */
const reasons: Readonly<Record<GoneCause, string>> = {
	refused: 'endpoint refuses connections',
	'newer incarnation': 'endpoint has restarted',
};

const incompleteEvent: SendEnd = {
	type: 'broken',
	reason: 'stream ended within an event',
};

/** Complete response of an endpoint, not yet forwarded to the caller. */
export type BufferedAnswer = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
};

/** Progress of the caller's stream, shared by the sends that continue it. */
export type StreamPosition = {
	/** Number of the last event that was forwarded to the caller. */
	lastEventId: number | undefined;
};

export type SendOptions = {
	readonly format: HttpFormat;
	readonly upstream: Upstream;
	readonly connections: ConnectionPool;
	/** Connection of that pool that was opened for this send; undefined to acquire one. */
	readonly connection: Connection | undefined;
	readonly output: CallerOutput;
	readonly requestId: string;
	readonly isStream: boolean;
	readonly isOnce: boolean;
	readonly position: StreamPosition;
	/** Timeout for the first data of the response body, of a stream for its first complete event, in milliseconds. */
	readonly firstByteMs: number;
	/** Idle timeout between later data or events, in milliseconds. */
	readonly gapMs: number;
	/** Idle time after which `checkLiveness` is called, in milliseconds; undefined to never call it. */
	readonly checkMs: number | undefined;
	readonly checkLiveness: IdleWatchOptions['checkLiveness'];
	readonly readSockets: IdleWatchOptions['readSockets'];
	/** Called after a timeout: sends the request to another endpoint as well once that one has a place for it, if `isIdle` then still holds. Never rejects. */
	readonly tryHedge: (reason: string, isIdle: () => boolean) => Promise<void>;
	/** Called when the endpoint has been silent on all connections for longer than one that pauses, and repeatedly from then on; `isIdle` as above. Never rejects. */
	readonly onDidFallSilent: (isIdle: () => boolean) => Promise<void>;
	/** Called with the time between two events, in milliseconds. */
	readonly onDidPause: (pauseMs: number) => void;
	/** Called before a part of the answer is forwarded to the caller. */
	readonly onWillForward: () => void;
	/** Called with the head of each response on the connection; `isOwn` is false for one that belongs to another request. */
	readonly onHead: (status: number, head: AnswerHead, isOwn: boolean) => void;
};

/** One attempt to send a request to one endpoint: reads the response, forwards stream events to the caller and reports how the attempt ended. */
export class Send implements Dispatcher.DispatchHandler {
	/** Resolves exactly once; the promise never rejects. */
	readonly ended: Promise<SendEnd>;
	/** The buffered response of a send that ended as `answered`. */
	answer: BufferedAnswer | undefined;
	/** The request may have reached the endpoint; false while there is no connection. */
	isSent = false;
	/** Called once: at the first bytes of the body that are forwarded, or at the end of a buffered response. */
	onDidReceiveOutput: () => void = () => undefined;
	/** Time of the first forwarded bytes of the body, or of the end of a buffered response, in milliseconds of the monotonic clock. */
	firstByteAt: number | undefined;
	/** Longest pause between two forwarded events, in milliseconds. */
	longestPauseMs = 0;
	/** Bytes of the response body that were read. */
	receivedBytes = 0;
	#lastEventAt: number | undefined;
	readonly #options: SendOptions;
	readonly #connection: Connection;
	readonly #splitter = new EventSplitter();
	#resolveEnded!: (end: SendEnd) => void;
	#isEnded = false;
	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#headers: RawHeaders = [];
	#head: AnswerHead | undefined;
	/** The caller has a part of the stream, and the next event must follow it. */
	#mustContinue = false;
	#mode: 'events' | 'buffered' | 'forwarded' = 'buffered';
	#buffered: Uint8Array[] = [];
	#bufferedBytes = 0;
	readonly #idleWatch: IdleWatch;

	constructor(options: SendOptions) {
		this.#options = options;
		this.#idleWatch = new IdleWatch({
			...options,
			checkLiveness: async (silentSince) =>
				livenessOfConnection(
					await options.checkLiveness(silentSince),
					this.#connection.openedAt,
					options.upstream.listedAliveAt,
				),
			onDidTimeOut: async (timeoutMs, isIdle) => {
				const reason = `nothing for ${Math.round(timeoutMs)} ms`;
				if (this.isSent) {
					// The head of an answer does not restart the idle watch, its body does.
					const status = this.#status;
					await options.tryHedge(
						reason,
						() => isIdle() && this.#status === status,
					);
				} else {
					this.cancel({type: 'unsent', reason});
				}
			},
			onDidFallSilent: async (isIdle) => {
				if (this.isSent) {
					await options.onDidFallSilent(isIdle);
				} else {
					this.cancel({
						type: 'unsent',
						reason: 'endpoint is silent on all connections',
					});
				}
			},
			onDidLoseEndpoint: (cause) => {
				const type = cause === 'newer incarnation' ? 'gone' : 'silent';
				this.cancel({
					type: this.isSent ? type : 'unsent',
					reason: reasons[cause],
				});
			},
		});
		this.#connection =
			options.connection ??
			options.connections.acquire(options.isOnce ? 'once' : 'repeatable');
		this.ended = new Promise((resolve) => {
			this.#resolveEnded = resolve;
		});
	}

	/** The endpoint may have the request, and its answer is awaited. */
	get isInProgress(): boolean {
		return this.isSent && !this.#isEnded;
	}

	start(options: Dispatcher.DispatchOptions): void {
		this.#connection.dispatch(options, this);
		this.#idleWatch.restart(this.#options.firstByteMs);
	}

	/** Aborts the send by closing the connection, on which the endpoint drops the request. */
	cancel(end: SendEnd): void {
		if (this.#finish(end)) {
			this.#options.connections.discard(this.#connection);
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		this.isSent = true;
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
	): void {
		if (this.#isEnded || status < statusOk) {
			return;
		}

		const {format, requestId, upstream} = this.#options;
		const now = monotonicNow();
		this.#status = status;
		this.#headers = decodeRawHeaders(controller.rawHeaders);
		const head = format.parseAnswer(status, this.#headers);
		this.#head = head;
		upstream.recordDataReceived(now);
		this.#options.onHead(status, head, head.requestId === requestId);
		const isSuccess = status < firstNonSuccessStatus;
		const mustNameRequest =
			isSuccess || head.requestId !== undefined || this.#connection.isReused;
		if (mustNameRequest && head.requestId !== requestId) {
			// A late duplicate response may carry the id of another request or none.
			this.cancel({type: 'broken', reason: 'answer to another request'});
			return;
		}

		if (head.load) {
			upstream.recordReportedLoad(head.load, now);
		}

		if (isSuccess && (!head.isSigned || head.isEncoded)) {
			this.cancel({type: 'broken', reason: 'success without signature'});
			return;
		}

		if (this.#isEventStream && this.#options.output.acceptsChunks) {
			this.#mode = 'events';
			this.#mustContinue =
				this.#options.output.hasSentHeaders &&
				this.#options.position.lastEventId !== undefined;
		}
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		if (this.#isEnded) {
			return;
		}

		this.receivedBytes += chunk.length;
		this.#options.upstream.recordDataReceived(monotonicNow());
		switch (this.#mode) {
			case 'events': {
				// Only complete events restart the idle watch: a stalled endpoint may still send single bytes.
				this.#readEvents(chunk);
				break;
			}

			case 'buffered': {
				this.#idleWatch.restart(this.#options.gapMs);
				this.#buffer(chunk);
				break;
			}

			case 'forwarded': {
				this.#idleWatch.restart(this.#options.gapMs);
				this.#recordFirstByte();
				this.#write(chunk);
				break;
			}
		}
	}

	onResponseEnd(): void {
		if (this.#isEnded) {
			return;
		}

		if (this.#connection.isReset) {
			this.#breakOff('connection reset');
			return;
		}

		this.#recordFirstByte();
		const end = this.#classifyEnd();
		if (end.type === 'broken') {
			this.cancel(end);
		} else if (this.#finish(end)) {
			// Undici marks the connection as free only after this callback returns.
			setImmediate(() => {
				this.#options.connections.release(this.#connection);
			});
		}
	}

	onResponseError(
		controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		if (this.isSent) {
			this.#breakOff(error.message);
		} else {
			this.cancel({type: 'unsent', reason: error.message});
		}
	}

	/** Ends a send whose response is incomplete. The head alone states that a request has not run. */
	#breakOff(reason: string): void {
		this.cancel(
			this.#head?.isNotExecuted
				? this.#classifyRefusal()
				: {type: 'broken', reason},
		);
	}

	get #isEventStream(): boolean {
		return this.#options.isStream && this.#status === statusOk;
	}

	/** Classifies a response that has been read to its end. */
	#classifyEnd(): SendEnd {
		if (this.#head!.isNotExecuted || notRunStatuses.has(this.#status)) {
			return this.#classifyRefusal();
		}

		switch (this.#mode) {
			case 'events': {
				return this.#classifyStreamEnd();
			}

			case 'buffered': {
				const body = Buffer.concat(this.#buffered);
				if (this.#isEventStream && !endsWithWholeEvent(body)) {
					return incompleteEvent;
				}

				this.answer = {
					status: this.#status,
					headers: this.#headers,
					body,
				};
				return {type: 'answered', status: this.#status};
			}

			case 'forwarded': {
				return {type: 'delivered'};
			}
		}
	}

	/** Classifies a refusal: only the endpoint's own statement proves that the request did not run, its status alone does not. */
	#classifyRefusal(): SendEnd {
		const {isNotExecuted, retryAfterMs} = this.#head!;
		return isNotExecuted
			? {type: 'rejected', status: this.#status, retryAfterMs}
			: {
					type: 'broken',
					reason: `status ${this.#status} without a statement that the request did not run`,
				};
	}

	#classifyStreamEnd(): SendEnd {
		const {output, position} = this.#options;
		if (this.#splitter.pendingLength > 0) {
			return incompleteEvent;
		}

		if (!output.hasSentHeaders) {
			// Nothing may be left of a stream that its caller resumes; without a marked end it may also have been broken off.
			const isResumed = position.lastEventId !== undefined;
			if (!isResumed || !isDelimited(this.#headers)) {
				return incompleteEvent;
			}

			this.#options.onWillForward();
			this.#writeHead();
		}

		return {type: 'delivered'};
	}

	#readEvents(chunk: Uint8Array): void {
		const {position} = this.#options;
		const ready: Uint8Array[] = [];
		for (const event of this.#splitter.push(chunk)) {
			const {id} = event;
			const last = position.lastEventId;
			if (id !== undefined && last !== undefined && id <= last) {
				continue;
			}

			if (id === undefined && this.#mustContinue) {
				if (isComment(event.bytes)) {
					continue;
				}

				this.cancel({
					type: 'broken',
					reason: 'event without id in place of the rest',
				});
				return;
			}

			this.#mustContinue = false;
			if (id !== undefined && last !== undefined && id > last + 1) {
				this.#forwardEvents(ready);
				this.cancel({type: 'broken', reason: `event ${last + 1} is missing`});
				return;
			}

			position.lastEventId = id ?? last;
			ready.push(event.bytes);
		}

		this.#forwardEvents(ready);
		this.#hold(this.#splitter.pendingLength);
		if (this.#splitter.pendingLength > maxBufferedBytes) {
			this.cancel({type: 'broken', reason: 'event without end'});
		}
	}

	#forwardEvents(events: readonly Uint8Array[]): void {
		if (events.length === 0) {
			return;
		}

		const now = monotonicNow();
		this.#recordPause(now, events.length);
		this.#idleWatch.restart(this.#options.gapMs);
		this.#recordFirstByte();
		this.#writeHead();
		this.#write(events.length === 1 ? events[0]! : Buffer.concat(events));
	}

	/** Records the time since the last event. Events that arrive together were delayed on the way, so the time is divided among them. */
	#recordPause(now: number, events: number): void {
		const {upstream} = this.#options;
		if (this.#lastEventAt !== undefined) {
			const pauseMs = now - this.#lastEventAt;
			this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
			this.#options.onDidPause(pauseMs);
			upstream.pace.addTokenSample(
				pauseMs / (events * upstream.eventTokens),
				now,
			);
		}

		this.#lastEventAt = now;
	}

	#buffer(chunk: Uint8Array): void {
		this.#buffered.push(Buffer.from(chunk));
		this.#bufferedBytes += chunk.length;
		this.#hold(this.#bufferedBytes);
		if (this.#bufferedBytes <= maxBufferedBytes) {
			return;
		}

		const {output} = this.#options;
		if (this.#head!.isNotExecuted || notRunStatuses.has(this.#status)) {
			// The head identifies a refusal; its body may be endless.
			this.cancel(this.#classifyRefusal());
		} else if (!output.acceptsChunks && !hasContentLength(this.#headers)) {
			this.cancel({
				type: 'broken',
				reason: 'answer too large for a caller that needs its length',
			});
		} else if (output.hasSentHeaders) {
			this.cancel({
				type: 'broken',
				reason: `status ${this.#status} in place of the rest`,
			});
		} else {
			this.#mode = 'forwarded';
			this.#recordFirstByte();
			this.#writeHead();
			this.#write(Buffer.concat(this.#buffered));
			this.#buffered = [];
		}
	}

	/** Charges bytes that cannot be forwarded yet to the caller's connection. */
	#hold(bytes: number): void {
		if (bytes >= minHeldBytes) {
			this.#options.output.hold(bytes);
		}
	}

	#recordFirstByte(): void {
		if (this.firstByteAt === undefined) {
			this.firstByteAt = monotonicNow();
			this.onDidReceiveOutput();
		}
	}

	#writeHead(): void {
		const {output, format} = this.#options;
		if (!output.hasSentHeaders) {
			output.writeHead(this.#status, format.answerHeaders(this.#headers));
		}
	}

	#write(bytes: Uint8Array): void {
		const controller = this.#controller!;
		this.#options.onWillForward();
		const canContinue = this.#options.output.write(bytes, () => {
			controller.resume();
			this.#idleWatch.restart(this.#options.gapMs);
		});
		if (!canContinue) {
			controller.pause();
			this.#idleWatch.pause();
		}
	}

	#finish(end: SendEnd): boolean {
		if (this.#isEnded) {
			return false;
		}

		this.#isEnded = true;
		this.#idleWatch.dispose();
		this.#resolveEnded(end);
		return true;
	}
}

/** Whether an event is a comment line, such as a heartbeat. */
function isComment(event: Uint8Array): boolean {
	return event[0] === ':'.codePointAt(0);
}

function endsWithWholeEvent(body: Uint8Array): boolean {
	const splitter = new EventSplitter();
	return splitter.push(body).length > 0 && splitter.pendingLength === 0;
}
