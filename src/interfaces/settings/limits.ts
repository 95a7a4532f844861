import {z} from 'zod';
import {integer} from './values.js';

const kibibyte = 1024;
const mebibyte = 1024 * kibibyte;

/** Section [limits]: bounds on the resources of a process that callers and peers can use. */
export const limitsSection = z.strictObject({
	/** Size of a request's header block, in bytes. */
	header_bytes: integer(kibibyte, mebibyte).default(16 * kibibyte),
	/** Size of a request's body, in bytes. The upper bound keeps an escaped body below the size of a peer message. */
	body_bytes: integer(kibibyte, 7 * mebibyte).default(4 * mebibyte),
	/** Total size of the request bodies held in memory, in bytes. */
	bodies_bytes: integer(mebibyte, 4096 * mebibyte).default(256 * mebibyte),
	/** Open caller connections of an entry, or peer connections of a sidecar. */
	connections: integer(1, 1_000_000).default(10_000),
	/** Requests in progress at one entry. */
	requests: integer(1, 1_000_000).default(10_000),
	/** Time for a request's header block to arrive, in milliseconds. */
	header_timeout_ms: integer(100, 600_000).default(10_000),
	/** Time for a whole request to arrive, in milliseconds. */
	request_timeout_ms: integer(100, 3_600_000).default(60_000),
	/** Time for which a caller's connection stays open without a request, in milliseconds. */
	idle_timeout_ms: integer(100, 3_600_000).default(60_000),
	/** Answer data that an entry buffers for one slow caller, in bytes; more than the sidecar sends without credit. */
	answer_bytes: integer(512 * kibibyte, 64 * mebibyte).default(mebibyte),
	/** Time for which a peer connection stays open without work in progress, in milliseconds. */
	link_idle_ms: integer(100, 3_600_000).default(30_000),
});
export type Limits = z.infer<typeof limitsSection>;
