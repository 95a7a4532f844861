import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Limits} from '../../interfaces/index.js';
import {ApiError} from './api-error.js';

/** Time after which a caller is told to try again when memory for bodies is short, in milliseconds. */
const retryAfterMs = 1000;

/** Reads request bodies within the limits on one body and on all bodies held. */
export class BodyReader {
	readonly #limits: Limits;
	#heldBytes = 0;

	constructor(limits: Limits) {
		this.#limits = limits;
	}

	/** Bytes of all bodies held. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Reads a body, which counts as held until `release`. Throws `ApiError` 413 when it is too large and 503 when too much is held. */
	async read(message: IncomingMessage): Promise<HeldBody> {
		const held = new HeldBody((bytes) => {
			this.#heldBytes += bytes;
		});
		try {
			const declared = Number(message.headers['content-length'] ?? 0);
			this.#check(declared, declared);
			const parts = message.iterator({
				// The connection must outlive the reading, so that an error can be answered.
				destroyOnReturn: false,
			}) as AsyncIterable<Buffer>;
			for await (const part of parts) {
				this.#check(held.size + part.length, part.length);
				held.add(part);
			}

			return held;
		} catch (error) {
			held.release();
			// What still arrives of a refused body is read and dropped.
			message.resume();
			throw error;
		}
	}

	#check(size: number, more: number): void {
		const {body_bytes: most, bodies_bytes: mostHeld} = this.#limits;
		if (size > most) {
			throw new ApiError(
				413,
				'body_too_large',
				`the body is larger than ${most} bytes`,
			);
		}

		if (this.#heldBytes + more > mostHeld) {
			throw new ApiError(
				503,
				'entry_busy',
				'this entry holds too many request bodies at present',
				retryAfterMs,
			);
		}
	}
}

/** A request body that counts towards the limit until it is released. */
export class HeldBody {
	readonly #account: (bytes: number) => void;
	#parts: Buffer[] = [];
	#size = 0;

	constructor(account: (bytes: number) => void) {
		this.#account = account;
	}

	get size(): number {
		return this.#size;
	}

	add(part: Buffer): void {
		this.#parts.push(part);
		this.#size += part.length;
		this.#account(part.length);
	}

	content(): Buffer {
		return Buffer.concat(this.#parts);
	}

	release(): void {
		this.#parts = [];
		this.#account(-this.#size);
		this.#size = 0;
	}
}
