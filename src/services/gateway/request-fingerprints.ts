import {hash32} from '../../base/index.js';
import type {PromptPart} from '../../interfaces/index.js';

/** What a fingerprint stands for. Several callers may share a part of a prompt; its last part belongs to one session, and a request to one caller. */
export type FingerprintKind = 'shared part' | 'last part' | 'request';

/** Distance between the fingerprints of two kinds. Those of shared parts are plain hashes, as gateways of earlier versions send them. */
const kindOffset = 2 ** 32;

/** Request as far as its fingerprints depend on it. */
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
	/** Parts of its prompt in order; none at a plain service. */
	readonly parts: readonly PromptPart[];
};

/** Numbers for all that may crash a server which runs the request: the parts of its prompt, and the request itself, which has the same last one at each repetition by its caller, at any gateway and with any request id. */
export function requestFingerprints(request: FingerprintedRequest): number[] {
	const {parts} = request;
	const shared = parts.slice(0, -1).map(({id}) => hash32(id));
	const last = parts.slice(-1).map(({id}) => kindOffset + hash32(id));
	return [...shared, ...last, wholeFingerprint(request)];
}

export function fingerprintKind(fingerprint: number): FingerprintKind {
	if (fingerprint < kindOffset) {
		return 'shared part';
	}

	return fingerprint < 2 * kindOffset ? 'last part' : 'request';
}

function wholeFingerprint({
	method,
	host,
	target,
	workspace = '',
	bodyLength,
	bodyChecksum,
}: FingerprintedRequest): number {
	return (
		2 * kindOffset +
		hash32(
			[method, host, target, workspace, bodyLength, bodyChecksum].join('\n'),
		)
	);
}
