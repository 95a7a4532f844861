import {hash32} from '../../base/index.js';

/** Request as far as its fingerprint depends on it. */
export type FingerprintedRequest = {
	readonly method: string;
	/** Host of its route. */
	readonly host: string;
	/** Path and query. */
	readonly target: string;
	/** Workspace of its caller; undefined on public routes. */
	readonly workspace: string | undefined;
	/** Length of its body in bytes, and a checksum of it. */
	readonly bodyLength: number;
	readonly bodyChecksum: number;
};

/** Number that is the same for each repetition of a request by its caller, at any gateway and with any request id. */
export function requestFingerprint({
	method,
	host,
	target,
	workspace = '',
	bodyLength,
	bodyChecksum,
}: FingerprintedRequest): number {
	return hash32(
		[method, host, target, workspace, bodyLength, bodyChecksum].join('\n'),
	);
}
