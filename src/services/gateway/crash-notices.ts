import type {FingerprintKind} from './request-fingerprints.js';

/** Crash of one incarnation of an endpoint. */
export type CrashNotice = {
	/** Key of the endpoint. */
	readonly endpoint: number;
	/** Unix time of its start in milliseconds; 0 when unknown. */
	readonly startedAt: number;
	readonly ageMs: number;
	/** Fingerprints of the requests that it had not begun to answer. */
	readonly fingerprints: readonly number[];
};

/** Something that a gateway observed about requests with one fingerprint. */
export type FingerprintNotice = {
	readonly fingerprint: number;
	readonly ageMs: number;
};

/** What a gateway tells the others about crashes. */
export type CrashNotices = {
	readonly crashes: readonly CrashNotice[];
	/** Fingerprints of requests that an endpoint has answered, or begun to answer, without a crash, as this gateway observed. */
	readonly survivals: readonly FingerprintNotice[];
	/** Fingerprints that a request of this gateway probes. */
	readonly probes: readonly FingerprintNotice[];
};

/** Whether a request with certain fingerprints may be sent. */
export type CrashVerdict =
	| {readonly type: 'clear'}
	/** It may be sent as the only request with its suspected fingerprints. */
	| {readonly type: 'probe'}
	/** Another request probes its suspected fingerprints. */
	| {readonly type: 'wait'}
	/** The request or a part of its prompt crashes endpoints, as far as is known. */
	| ({readonly type: 'withheld'} & WithheldFingerprint);

/** Fingerprint whose requests are withheld. */
export type WithheldFingerprint = {
	readonly fingerprint: number;
	readonly kind: FingerprintKind;
	/** Separate crashes that are held against it. */
	readonly crashes: number;
	/** Time until a request may probe it, in milliseconds. */
	readonly retryAfterMs: number;
};
