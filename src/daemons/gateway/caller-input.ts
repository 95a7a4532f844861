import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Disposable} from '../../base/index.js';
import type {MemoryHolder, YieldReason} from '../../services/gateway/index.js';
import {closeInOrder} from '../idle-end.js';
import {monotonicNow} from '../state-machine.js';
import type {CallerMemory} from './caller-memory.js';
import {RequestCharge} from './request-charge.js';

/** Bytes that end the head of a request, and the last chunk of a body. */
const blankLine = '\r\n\r\n';

/** Minimum size of a slice that is parsed at once, in bytes; the shortest request has 18. */
const minSliceBytes = 256;

/** Unparsed bytes above which a connection is not read, in bytes. Below it a caller that leaves is noticed while requests wait. */
const maxUnparsedBytes = 16 * 1024;

/** Bytes that are read and dropped after a refusal, so that its caller reads it before the connection is reset. */
const maxDroppedBytes = 1024 * 1024;

/** Memory that one read from a socket takes, in bytes. */
export const readBytes = 64 * 1024;

/**
 * Bytes that arrive on a connection of a caller, on their way to the HTTP parser.
 * Node.js parses all requests of one read at once; this takes the place of its
 * listener and passes on slices, which hold one request or a few short ones, and
 * none while a request is in progress or memory is short.
 */
export class CallerInput implements Disposable {
	readonly holder: MemoryHolder;
	readonly #socket: Socket;
	readonly #memory: CallerMemory;
	/** Listener of Node.js that parses what arrives. */
	readonly #parse: (data: Buffer) => void;
	#unparsed: Buffer | undefined;
	/** Requests that have been parsed and whose answers have not ended. */
	#awaited = 0;
	/** Last request that was parsed; its body must be parsed although it is in progress. */
	#request: IncomingMessage | undefined;
	#isRefused = false;
	#isClosed = false;
	#isParsing = false;
	#dropped = 0;
	/** Requests whose memory is held, also beyond the end of the connection. */
	#retained = 0;

	constructor(socket: Socket, memory: CallerMemory) {
		this.#socket = socket;
		this.#memory = memory;
		this.holder = memory.open();
		const [parse] = socket.listeners('data');
		this.#parse = (data) => {
			parse?.call(socket, data);
		};

		socket.removeAllListeners('data');
		socket.on('data', (data: Buffer) => {
			this.#receive(data);
		});
		socket.on('resume', () => {
			this.resume();
		});
		socket.once('close', () => {
			this.dispose();
		});
	}

	/** Bytes that have been read from the socket and not been parsed. */
	get unparsedBytes(): number {
		return this.#unparsed?.length ?? 0;
	}

	/** A request has been parsed. */
	begin(request: IncomingMessage): void {
		this.#awaited++;
		this.#request = request;
	}

	/** The answer to a request has ended; the next one may be parsed. */
	end(): void {
		this.#awaited--;
		this.holder.set('answers', 0);
		this.holder.canYield = false;
		this.resume();
	}

	/** Charges memory of one request, which is held until the charge is disposed of, also beyond the end of the connection. */
	charge(): RequestCharge {
		this.#retained++;
		return new RequestCharge(this.holder, () => {
			this.#retained--;
			this.#disposeHolder();
		});
	}

	/** Charges an answer that its caller does not read as fast as it arrives; `cut` ends it when its memory is needed. */
	holdAnswer(bytes: number, cut: (reason: YieldReason) => void): void {
		const {holder} = this;
		if (this.#isClosed || this.#isRefused) {
			return;
		}

		if (!holder.canYield) {
			holder.begin(monotonicNow());
			holder.canYield = true;
		}

		holder.onYield = cut;
		holder.set('answers', bytes);
		this.#memory.shed();
	}

	/** Counts bytes of an answer that an endpoint's connection has read. */
	forward(bytes: number): void {
		this.#memory.read(bytes);
	}

	/** The caller has read what was held. */
	releaseAnswer(): void {
		this.holder.canYield = false;
		this.holder.set('answers', 0);
	}

	/** Answers with a text in place of what is expected, and closes the connection in order. What still arrives is dropped. */
	refuse(text: string): void {
		if (this.#isRefused || this.#socket.destroyed) {
			return;
		}

		this.stop();
		if (this.#socket.writable) {
			this.#socket.write(text);
			closeInOrder(this.#socket);
		} else {
			this.#socket.destroy();
		}
	}

	/** Parses nothing more. */
	stop(): void {
		this.#isRefused = true;
		this.#unparsed = undefined;
		this.holder.set('unparsed', 0);
		this.holder.canYield = false;
		this.#socket.resume();
	}

	/** Parses on, as far as requests in progress and memory allow. */
	resume(): void {
		if (this.#isParsing || !this.#unparsed) {
			return;
		}

		this.#parseSlices(this.#unparsed);
	}

	dispose(): void {
		this.#isClosed = true;
		this.#unparsed = undefined;
		this.#memory.wait(this, false);
		this.holder.canYield = false;
		this.holder.set('unparsed', 0);
		this.holder.set('answers', 0);
		this.#disposeHolder();
	}

	#disposeHolder(): void {
		if (this.#isClosed && this.#retained === 0) {
			this.holder.dispose();
		}
	}

	#receive(data: Buffer): void {
		this.#memory.read(data.length);
		if (this.#isRefused) {
			this.#dropped += data.length;
			if (this.#dropped > maxDroppedBytes) {
				this.#socket.pause();
			}

			return;
		}

		this.#parseSlices(
			this.#unparsed ? Buffer.concat([this.#unparsed, data]) : data,
		);
	}

	#parseSlices(data: Buffer): void {
		let offset = 0;
		this.#isParsing = true;
		this.#unparsed = undefined;
		while (offset < data.length && this.#mayParse(data.length - offset)) {
			const end = sliceEnd(data, offset);
			this.#parse(
				offset === 0 && end === data.length ? data : data.subarray(offset, end),
			);
			offset = end;
		}

		this.#isParsing = false;
		if (this.#isRefused || this.#socket.destroyed) {
			return;
		}

		this.#keep(offset === 0 ? data : data.subarray(offset));
	}

	/** Keeps what may not be parsed yet; reads no more when it is much, or when memory is short. */
	#keep(rest: Buffer): void {
		if (rest.length === 0) {
			if (this.holder.held('unparsed') > 0) {
				this.holder.set('unparsed', 0);
				this.#memory.wait(this, false);
				this.#socket.resume();
			}

			return;
		}

		// A slice of a read keeps the whole read alive.
		this.#unparsed = rest.length < maxUnparsedBytes ? Buffer.from(rest) : rest;
		this.holder.set(
			'unparsed',
			rest.length < maxUnparsedBytes ? rest.length : rest.buffer.byteLength,
		);
		this.#memory.shed();
		if (this.#isRefused) {
			return;
		}

		const waits = this.#expectsBytes;
		this.#memory.wait(this, waits);
		if (waits || rest.length >= maxUnparsedBytes) {
			this.#socket.pause();
		}
	}

	#mayParse(bytes: number): boolean {
		const {destroyed} = this.#socket;
		// Node.js pauses a socket whose parser must not be called.
		if (destroyed || this.#isRefused || isPausedByServer(this.#socket)) {
			return false;
		}

		return this.#expectsBytes && this.#memory.hasRoom(this.holder, bytes);
	}

	/** Whether the next bytes belong to the body of the request in progress, or no request is in progress. */
	get #expectsBytes(): boolean {
		const request = this.#request;
		return (
			this.#awaited === 0 ||
			(request !== undefined &&
				!request.complete &&
				request.readableLength < readBytes)
		);
	}
}

/** Node.js sets a flag on sockets whose responses fill their write buffers, and requires that their parsers are not called. */
function isPausedByServer(socket: Socket): boolean {
	return '_paused' in socket && socket._paused === true;
}

/** End of the slice that begins at an offset: after the first blank line beyond the minimum size. */
function sliceEnd(data: Buffer, offset: number): number {
	const found = data.indexOf(
		blankLine,
		offset + minSliceBytes - blankLine.length,
		'latin1',
	);
	return found === -1 ? data.length : found + blankLine.length;
}
