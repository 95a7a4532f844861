import VError from 'verror';
import {
	challengeSchema,
	proveResultSchema,
	proveParametersSchema,
	type Hello,
} from '../../interfaces/index.js';
import type {Link} from './link.js';
import {createNonce, type PeerKeys} from './peer-keys.js';

/** Timeout of each request of the handshake, in milliseconds. */
const stepTimeoutMs = 1000;

/** The peer failed to prove that it knows a valid key. */
export class PeerNotAuthentic extends VError {
	override name = 'PeerNotAuthentic';
}

/** Runs the connecting side of the handshake: proves a key and checks the accepting side's proof. Resolves to the peer's identity; rejects with `PeerNotAuthentic`, or when a response times out. */
export async function initiateHandshake(
	link: Link,
	keys: PeerKeys,
	localHello: Hello,
): Promise<Hello> {
	const connectingNonce = createNonce();
	const challenge = challengeSchema.parse(
		await link.request('hello', {nonce: connectingNonce}, stepTimeoutMs),
	);
	const nonces = {connectingNonce, acceptingNonce: challenge.nonce};
	const proofs = keys.prove({side: 'connecting', ...nonces, hello: localHello});
	const {hello, proof} = proveResultSchema.parse(
		await link.request(
			'hello.prove',
			{hello: localHello, proofs},
			stepTimeoutMs,
		),
	);
	if (keys.matching([proof], {side: 'accepting', ...nonces, hello}).isEmpty) {
		throw new PeerNotAuthentic(
			'the peer that identifies itself as %s did not prove that it knows a valid key',
			hello.instance,
		);
	}

	return hello;
}

export type HandshakeOptions = {
	readonly keys: PeerKeys;
	readonly localHello: () => Hello;
	/** Called before the response is sent, so that handlers are registered when the peer's first message arrives. */
	readonly onDidProve: (peer: Hello) => void;
};

/** Registers the accepting side of the handshake. No other handlers are registered on the link until the connecting side's proof is valid. */
export function acceptHandshake(link: Link, options: HandshakeOptions): void {
	const {keys} = options;
	const acceptingNonce = createNonce();
	let connectingNonce: string | undefined;
	link.on('hello', (parameters) => {
		connectingNonce = challengeSchema.parse(parameters).nonce;
		return {nonce: acceptingNonce};
	});
	link.on('hello.prove', (parameters) => {
		const {hello, proofs} = proveParametersSchema.parse(parameters);
		if (connectingNonce === undefined) {
			throw new PeerNotAuthentic('hello.prove came before hello');
		}

		const nonces = {connectingNonce, acceptingNonce};
		// A nonce is valid for one attempt only.
		connectingNonce = undefined;
		const sharedKeys = keys.matching(proofs, {
			side: 'connecting',
			...nonces,
			hello,
		});
		if (sharedKeys.isEmpty) {
			link.abort();
			throw new PeerNotAuthentic(
				'%s did not prove that it knows a valid key',
				hello.instance,
			);
		}

		const localHello = options.localHello();
		const [proof] = sharedKeys.prove({
			side: 'accepting',
			...nonces,
			hello: localHello,
		});
		options.onDidProve(hello);
		return {hello: localHello, proof};
	});
}
