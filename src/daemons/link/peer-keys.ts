import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {Hello} from '../../interfaces/index.js';

const nonceBytes = 16;

/** Content that a proof signs: the side, both nonces and the identity that it authenticates. */
export type Claim = {
	/** Signed so that a proof of one side is not valid for the other (reflection attack). */
	readonly side: 'connecting' | 'accepting';
	readonly connectingNonce: string;
	readonly acceptingNonce: string;
	readonly hello: Hello;
};

/** Returns a new random nonce in hexadecimal form. */
export function createNonce(): string {
	return randomBytes(nonceBytes).toString('hex');
}

/** The keys that a process shares with its peers: the current one and, during a rotation, a second one. */
export class PeerKeys {
	readonly #keys: readonly string[];

	constructor(keys: ReadonlyArray<string | undefined>) {
		this.#keys = keys.filter((key) => key !== undefined);
	}

	/** Returns one proof for each key. */
	prove(claim: Claim): string[] {
		return this.#keys.map((key) => proofOf(key, claim));
	}

	/** Returns the keys for which one of the proofs is valid. */
	matching(proofs: readonly string[], claim: Claim): PeerKeys {
		return new PeerKeys(
			this.#keys.filter((key) => {
				const expected = Buffer.from(proofOf(key, claim));
				return proofs.some((proof) => {
					const given = Buffer.from(proof);
					return (
						given.length === expected.length && timingSafeEqual(given, expected)
					);
				});
			}),
		);
	}

	get isEmpty(): boolean {
		return this.#keys.length === 0;
	}
}

/** HMAC-SHA-256 of the claim, in hexadecimal form. */
function proofOf(key: string, claim: Claim): string {
	const {instance, role, incarnation, dataCentre, revision} = claim.hello;
	return createHmac('sha256', key)
		.update(
			JSON.stringify([
				claim.side,
				claim.connectingNonce,
				claim.acceptingNonce,
				instance,
				role,
				incarnation,
				dataCentre,
				revision,
			]),
		)
		.digest('hex');
}
