import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {
	AnswerHead,
	HttpFormat,
	RawHeaders,
} from '../../interfaces/index.js';
import {
	EventSplitter,
	type SendEnd,
	type Upstream,
} from '../../services/gateway/index.js';
import {monotonicNow} from '../task.js';
import type {CallerOutput} from './caller-output.js';
import type {Connection, Connections} from './connections.js';
import {rawText} from './raw-text.js';

/** Answer, or event of a stream, that is kept until it is whole, in bytes. A longer answer is handed on as it comes and cannot be replaced by a repeated one; a longer event or refusal is broken off. */
const maxHeldBytes = 256 * 1024;

const success = 200;
const firstFailure = 300;
const unavailable = 503;

/** Statuses that tell a caller that its request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, unavailable]);

/** Statuses whose answers have no body. */
const bodiless: ReadonlySet<number> = new Set([204, 304]);

const framingHeaders: ReadonlySet<string> = new Set([
	'content-length',
	'transfer-encoding',
]);

/** Whole answer of an endpoint. */
export type HeldAnswer = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly body: Uint8Array;
	/** It had no length and ended with its connection. */
	readonly isUnframed: boolean;
};

/** How far the caller's stream has come; shared by the sends that continue it. */
export type StreamPosition = {
	/** Number of the last event that the caller has. */
	lastEventId: number | undefined;
};

export type SendOptions = {
	readonly format: HttpFormat;
	readonly upstream: Upstream;
	readonly connections: Connections;
	readonly output: CallerOutput;
	readonly requestId: string;
	readonly isStream: boolean;
	readonly isOnce: boolean;
	readonly position: StreamPosition;
	/** Longest silence before the first byte of the answer, in milliseconds. */
	readonly firstByteMs: number;
	/** Longest silence within the answer, in milliseconds. */
	readonly gapMs: number;
	/** Silence after which `isAlive` is asked, in milliseconds; undefined to never ask. */
	readonly checkMs: number | undefined;
	/** Asks the endpoint itself whether it is alive. */
	readonly isAlive: () => Promise<boolean>;
	/** Called with the head of each answer on the connection, also one to another request. */
	readonly onHead: (status: number, head: AnswerHead) => void;
};

/** One send of a request to one endpoint: reads the answer, hands events on and reports how it ended. */
export class Send implements Dispatcher.DispatchHandler {
	/** Resolves exactly once; the promise never rejects. */
	readonly ended: Promise<SendEnd>;
	/** The answer of a send that ended as `answered`. */
	answer: HeldAnswer | undefined;
	isSent = false;
	/** Called at the first byte of the answer's body. */
	onDidAnswer: () => void = () => undefined;
	/** Moment of the first byte of the answer's body or of its end. */
	firstByteAt: number | undefined;
	/** Longest pause between two events that were handed on, in milliseconds. */
	longestPauseMs = 0;
	#lastEventAt: number | undefined;
	readonly #options: SendOptions;
	readonly #connection: Connection;
	readonly #splitter = new EventSplitter();
	#end!: (end: SendEnd) => void;
	#isEnded = false;
	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#headers: RawHeaders = [];
	#isUnframed = false;
	#head: AnswerHead | undefined;
	#mode: 'events' | 'held' | 'passed' = 'held';
	#held: Uint8Array[] = [];
	#heldBytes = 0;
	#timer: NodeJS.Timeout | undefined;
	#silentSince = 0;
	/** Moment of the last check, or of the beginning of the silence; compared with what was heard since, as timers may fire a little early. */
	#checkedAt = 0;
	#silenceMs = 0;

	constructor(options: SendOptions) {
		this.#options = options;
		this.#connection = options.connections.take(options.isOnce);
		this.ended = new Promise((resolve) => {
			this.#end = resolve;
		});
	}

	start(options: Dispatcher.DispatchOptions): void {
		this.#connection.dispatch(options, this);
		this.#watch(this.#options.firstByteMs);
	}

	/** Breaks the send off; the endpoint drops the request when its connection closes. */
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
		if (this.#isEnded || status < success) {
			return;
		}

		const {format, requestId, upstream} = this.#options;
		const now = monotonicNow();
		this.#status = status;
		this.#headers = rawText(controller.rawHeaders);
		this.#isUnframed = isUnframed(status, this.#headers);
		const head = format.readAnswer(status, this.#headers);
		this.#head = head;
		upstream.heard(now);
		this.#options.onHead(status, head);
		const isSuccess = status < firstFailure;
		if (head.requestId !== requestId && (isSuccess || head.requestId)) {
			// A late second answer may lack its id as well as bear that of another request.
			this.cancel({type: 'broken', reason: 'answer to another request'});
			return;
		}

		if (head.load) {
			upstream.stated(head.load, now);
		}

		if (isSuccess && (!head.isSigned || head.isEncoded)) {
			this.cancel({type: 'broken', reason: 'success without signature'});
			return;
		}

		if (this.#options.isStream && status === success) {
			this.#mode = 'events';
		}
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		if (this.#isEnded) {
			return;
		}

		this.#options.upstream.heard(monotonicNow());
		switch (this.#mode) {
			case 'events': {
				// Only whole events are progress: a stalled endpoint may send a byte now and then.
				this.#readEvents(chunk);
				break;
			}

			case 'held': {
				this.#watch(this.#options.gapMs);
				this.#hold(chunk);
				break;
			}

			case 'passed': {
				this.#watch(this.#options.gapMs);
				this.#noteFirstByte();
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
			this.cancel({type: 'broken', reason: 'connection reset'});
			return;
		}

		this.#noteFirstByte();
		const end = this.#conclude();
		if (end.type === 'broken') {
			this.cancel(end);
		} else if (this.#finish(end)) {
			// The library marks the connection free only after this call.
			setImmediate(() => {
				this.#options.connections.release(this.#connection);
			});
		}
	}

	onResponseError(
		controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		this.cancel(
			this.isSent
				? {type: 'broken', reason: error.message}
				: {type: 'unsent', reason: error.message},
		);
	}

	/** Outcome of an answer that has been read to its end. */
	#conclude(): SendEnd {
		if (this.#head!.isNotExecuted || promises.has(this.#status)) {
			return this.#refusal();
		}

		switch (this.#mode) {
			case 'events': {
				return this.#concludeEvents();
			}

			case 'held': {
				this.answer = {
					status: this.#status,
					headers: this.#headers,
					body: Buffer.concat(this.#held),
					isUnframed: this.#isUnframed,
				};
				return {type: 'answered', status: this.#status};
			}

			case 'passed': {
				return {type: 'delivered'};
			}
		}
	}

	/** Only the endpoint's own statement makes a refusal one of a request that did not run. */
	#refusal(): SendEnd {
		const {isNotExecuted, retryAfterMs} = this.#head!;
		return isNotExecuted
			? {type: 'rejected', status: this.#status, retryAfterMs}
			: {
					type: 'broken',
					reason: `status ${this.#status} without a statement that the request did not run`,
				};
	}

	#concludeEvents(): SendEnd {
		const {output} = this.#options;
		if (this.#splitter.restLength > 0 || !output.isBegun) {
			return {type: 'broken', reason: 'stream ended within an event'};
		}

		return this.#isUnframed && !output.isUnframed
			? {type: 'broken', reason: 'end of the stream cannot be verified'}
			: {type: 'delivered'};
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

			if (id !== undefined && last !== undefined && id > last + 1) {
				this.#flush(ready);
				this.cancel({type: 'broken', reason: `event ${last + 1} is missing`});
				return;
			}

			position.lastEventId = id ?? last;
			ready.push(event.bytes);
		}

		this.#flush(ready);
		if (this.#splitter.restLength > maxHeldBytes) {
			this.cancel({type: 'broken', reason: 'event without end'});
		}
	}

	#flush(events: readonly Uint8Array[]): void {
		if (events.length === 0) {
			return;
		}

		const now = monotonicNow();
		this.#notePause(now, events.length);
		this.#watch(this.#options.gapMs);
		this.#noteFirstByte();
		this.#begin();
		this.#write(events.length === 1 ? events[0]! : Buffer.concat(events));
	}

	/** Notes the time since the last event; several at once have been held up on the way. */
	#notePause(now: number, events: number): void {
		const {upstream} = this.#options;
		if (this.#lastEventAt !== undefined) {
			const pauseMs = now - this.#lastEventAt;
			this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
			upstream.step.note(pauseMs / (events * upstream.eventTokens));
		}

		this.#lastEventAt = now;
	}

	#hold(chunk: Uint8Array): void {
		this.#held.push(Buffer.from(chunk));
		this.#heldBytes += chunk.length;
		if (this.#heldBytes <= maxHeldBytes) {
			return;
		}

		if (this.#head!.isNotExecuted || promises.has(this.#status)) {
			// A refusal is known by its head; its body may have no end.
			this.cancel(this.#refusal());
		} else {
			this.#mode = 'passed';
			this.#noteFirstByte();
			this.#begin();
			this.#write(Buffer.concat(this.#held));
			this.#held = [];
		}
	}

	#noteFirstByte(): void {
		if (this.firstByteAt === undefined) {
			this.firstByteAt = monotonicNow();
			this.onDidAnswer();
		}
	}

	#begin(): void {
		const {output, format} = this.#options;
		if (!output.isBegun) {
			output.begin(
				this.#status,
				format.answerHeaders(this.#headers),
				this.#isUnframed,
			);
		}
	}

	#write(bytes: Uint8Array): void {
		const controller = this.#controller!;
		const goesOn = this.#options.output.write(bytes, () => {
			controller.resume();
			this.#watch(this.#options.gapMs);
		});
		if (!goesOn) {
			controller.pause();
			clearTimeout(this.#timer);
		}
	}

	/** Ends the send when nothing comes within a time, or earlier when the endpoint is dead. */
	#watch(ms: number): void {
		clearTimeout(this.#timer);
		this.#silentSince = monotonicNow();
		this.#checkedAt = this.#silentSince;
		this.#silenceMs = ms;
		this.#schedule();
	}

	#schedule(): void {
		const ms = this.#silenceMs;
		if (this.#isEnded) {
			return;
		}

		const left = this.#silentSince + ms - monotonicNow();
		const {checkMs = Number.POSITIVE_INFINITY} = this.#options;
		this.#timer = setTimeout(
			() => {
				if (left > checkMs) {
					void this.#check();
				} else {
					this.#giveUp(`nothing for ${Math.round(ms)} ms`);
				}
			},
			Math.max(0, Math.min(left, checkMs)),
		);
	}

	/** Asks the endpoint unless it has been heard on another connection meanwhile. */
	async #check(): Promise<void> {
		const since = this.#silentSince;
		const {upstream, isAlive} = this.#options;
		const isHeard = upstream.lastHeardAt > this.#checkedAt;
		this.#checkedAt = monotonicNow();
		const isDead = !isHeard && !(await isAlive());
		if (since !== this.#silentSince) {
			return;
		}

		if (isDead) {
			this.#giveUp('endpoint does not answer');
		} else {
			this.#schedule();
		}
	}

	#giveUp(reason: string): void {
		this.cancel(
			this.isSent ? {type: 'silent', reason} : {type: 'unsent', reason},
		);
	}

	#finish(end: SendEnd): boolean {
		if (this.#isEnded) {
			return false;
		}

		this.#isEnded = true;
		clearTimeout(this.#timer);
		this.#end(end);
		return true;
	}
}

/** Whether the end of the connection is the only end of the answer. */
function isUnframed(status: number, headers: RawHeaders): boolean {
	return (
		!bodiless.has(status) &&
		!headers.some(
			(name, index) =>
				index % 2 === 0 && framingHeaders.has(name.toLowerCase()),
		)
	);
}
