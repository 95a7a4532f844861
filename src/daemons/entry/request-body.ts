import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Limits} from '../../interfaces/index.js';
import {ApiError} from './api-error.js';

/** Retry delay sent to callers when the limit on all held bodies is reached, in milliseconds. */
const retryAfterMs = 1000;

/** Reads request bodies, and enforces the limits on one body and on all bodies held in memory. */
export class BodyReader {
	readonly #limits: Limits;
	#heldBytes = 0;

	constructor(limits: Limits) {
		this.#limits = limits;
	}

	/** Total size of all bodies held in memory, in bytes. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Reads a body, which counts as held until `release`. Throws `ApiError` 413 when it is too large, and 503 when the held bodies would exceed their limit. */
	async read(message: IncomingMessage): Promise<HeldBody> {
		const held = new HeldBody((bytes) => {
			this.#heldBytes += bytes;
		});
		try {
			const declared = Number(message.headers['content-length'] ?? 0);
			this.#checkLimits(declared, declared);
			const parts = message.iterator({
				// The connection must stay open when reading fails, so that an error response can be sent.
				destroyOnReturn: false,
			}) as AsyncIterable<Buffer>;
			for await (const part of parts) {
				this.#checkLimits(held.size + part.length, part.length);
				held.add(part);
			}

			return held;
		} catch (error) {
			held.release();
			// The rest of a refused body is read and discarded.
			message.resume();
			throw error;
		}
	}

	#checkLimits(size: number, addedBytes: number): void {
		const {body_bytes: maxBodyBytes, bodies_bytes: maxHeldBytes} = this.#limits;
		if (size > maxBodyBytes) {
			throw new ApiError(
				413,
				'body_too_large',
				`the body is larger than ${maxBodyBytes} bytes`,
			);
		}

		if (this.#heldBytes + addedBytes > maxHeldBytes) {
			throw new ApiError(
				503,
				'entry_busy',
				'this entry holds too many request bodies at present',
				retryAfterMs,
			);
		}
	}
}

/** A request body that counts towards the limit on all bodies until it is released. */
export class HeldBody {
	readonly #addHeldBytes: (bytes: number) => void;
	#parts: Buffer[] = [];
	#size = 0;

	constructor(addHeldBytes: (bytes: number) => void) {
		this.#addHeldBytes = addHeldBytes;
	}

	get size(): number {
		return this.#size;
	}

	add(part: Buffer): void {
		this.#parts.push(part);
		this.#size += part.length;
		this.#addHeldBytes(part.length);
	}

	content(): Buffer {
		return Buffer.concat(this.#parts);
	}

	release(): void {
		this.#parts = [];
		this.#addHeldBytes(-this.#size);
		this.#size = 0;
	}
}
