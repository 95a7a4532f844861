import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {YieldReason} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import type {CallerInput} from './caller-input.js';
import type {RequestCharge} from './request-charge.js';

/** Complete body of a caller's request, or the reason why it could not be read. */
export type RequestBody =
	| {readonly type: 'whole'; readonly bytes: Uint8Array}
	| {readonly type: 'too large'}
	/** The caller must send it again later, as its memory is needed for others. */
	| {readonly type: 'refused'; readonly reason: YieldReason}
	/** The caller disconnected before it had sent the whole body. */
	| {readonly type: 'aborted'};

/** Size below which chunks are copied together, in bytes. */
const smallChunkBytes = 4096;

/** Sizes of the buffers into which small chunks are copied, in bytes; each is twice as large as the last. */
const minBlockBytes = 4096;
const maxBlockBytes = 64 * 1024;

/** Charge for a buffer beside its bytes, in bytes: its objects in the V8 heap. */
const bufferBytes = 256;

/** Bytes of a body in few buffers, however small the chunks are in which it arrives. */
class BodyBuffers {
	readonly #parts: Uint8Array[] = [];
	#block: Uint8Array | undefined;
	#blockLength = 0;
	#length = 0;
	#allocated = 0;

	get length(): number {
		return this.#length;
	}

	/** Memory that the buffers take, in bytes. */
	get allocated(): number {
		return this.#allocated;
	}

	/** Stores a chunk. A large chunk, and the first one, is not copied. */
	push(chunk: Uint8Array): void {
		this.#length += chunk.length;
		if (chunk.length >= smallChunkBytes || this.#parts.length === 0) {
			this.#closeBlock();
			this.#parts.push(chunk);
			this.#allocated += chunk.length + bufferBytes;
			return;
		}

		if (!this.#block || this.#block.length - this.#blockLength < chunk.length) {
			const lastSize = this.#block?.length ?? minBlockBytes / 2;
			this.#closeBlock();
			const size = Math.min(lastSize * 2, maxBlockBytes);
			this.#block = Buffer.allocUnsafeSlow(Math.max(size, chunk.length));
			this.#allocated += this.#block.length + bufferBytes;
		}

		this.#block.set(chunk, this.#blockLength);
		this.#blockLength += chunk.length;
	}

	/** The bytes in one buffer; copied only when there are several. */
	whole(): Uint8Array {
		this.#closeBlock();
		return this.#parts.length === 1
			? this.#parts[0]!
			: Buffer.concat(this.#parts);
	}

	#closeBlock(): void {
		if (this.#block) {
			this.#parts.push(this.#block.subarray(0, this.#blockLength));
			this.#block = undefined;
			this.#blockLength = 0;
		}
	}
}

/** Buffers the whole body, so that a retry can send it again. Never rejects. */
export async function readBody(
	request: IncomingMessage,
	maxBytes: number,
	input: CallerInput,
	charge: RequestCharge,
): Promise<RequestBody> {
	const announced = Number(request.headers['content-length'] ?? 0);
	if (announced > maxBytes) {
		return {type: 'too large'};
	}

	const {holder} = input;
	return new Promise((resolve) => {
		const buffers = new BodyBuffers();
		let hasEnded = false;
		const end = (body: RequestBody) => {
			if (hasEnded) {
				return;
			}

			hasEnded = true;
			holder.canYield = false;
			request.removeAllListeners('data');
			resolve(body);
		};

		request.on('data', (chunk: Uint8Array) => {
			holder.progressAt = monotonicNow();
			if (buffers.length + chunk.length > maxBytes) {
				end({type: 'too large'});
			} else {
				buffers.push(chunk);
				charge.setBody(buffers.allocated);
			}
		});
		request.once('end', () => {
			if (hasEnded) {
				return;
			}

			const bytes = buffers.whole();
			charge.setBody(bytes.length);
			end({type: 'whole', bytes});
		});
		request.once('error', () => {
			end({type: 'aborted'});
		});
		request.once('close', () => {
			end({type: 'aborted'});
		});
		holder.begin(monotonicNow());
		holder.canYield = true;
		holder.onYield = (reason) => {
			end({type: 'refused', reason});
		};

		input.resume();
	});
}
