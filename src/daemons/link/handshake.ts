import VError from 'verror';
import {
	challengeSchema,
	provedSchema,
	proveSchema,
	type Hello,
} from '../../interfaces/index.js';
import type {Link} from './link.js';
import {createNonce, type PeerKeys} from './peer-keys.js';

/** Longest time for each step of the exchange, in milliseconds. */
const stepTimeoutMs = 1000;

/** The other end of a connection does not know a valid peer key. */
export class PeerNotAuthentic extends VError {
	override name = 'PeerNotAuthentic';
}

/** Proves a key to the accepting side and checks its proof. Resolves to its identity; rejects with `PeerNotAuthentic` or when there is no answer in time. */
export async function greet(
	link: Link,
	keys: PeerKeys,
	own: Hello,
): Promise<Hello> {
	const connectingNonce = createNonce();
	const challenge = challengeSchema.parse(
		await link.request('hello', {nonce: connectingNonce}, stepTimeoutMs),
	);
	const nonces = {connectingNonce, acceptingNonce: challenge.nonce};
	const proofs = keys.prove({side: 'connecting', ...nonces, hello: own});
	const {hello, proof} = provedSchema.parse(
		await link.request('hello.prove', {hello: own, proofs}, stepTimeoutMs),
	);
	if (keys.matching([proof], {side: 'accepting', ...nonces, hello}).isEmpty) {
		throw new PeerNotAuthentic(
			'the peer that calls itself %s does not know a valid key',
			hello.instance,
		);
	}

	return hello;
}

export type WelcomeOptions = {
	readonly keys: PeerKeys;
	readonly own: () => Hello;
	/** Called before the peer is answered, so that its first message finds its receivers. */
	readonly onDidProve: (peer: Hello) => void;
};

/** Answers the connecting side's proof; nothing else is served on the link until it holds. */
export function welcome(link: Link, options: WelcomeOptions): void {
	const {keys} = options;
	const acceptingNonce = createNonce();
	let connectingNonce: string | undefined;
	link.on('hello', (parameters) => {
		connectingNonce = challengeSchema.parse(parameters).nonce;
		return {nonce: acceptingNonce};
	});
	link.on('hello.prove', (parameters) => {
		const {hello, proofs} = proveSchema.parse(parameters);
		if (connectingNonce === undefined) {
			throw new PeerNotAuthentic('hello.prove came before hello');
		}

		const nonces = {connectingNonce, acceptingNonce};
		// Each nonce is good for one try.
		connectingNonce = undefined;
		const shared = keys.matching(proofs, {
			side: 'connecting',
			...nonces,
			hello,
		});
		if (shared.isEmpty) {
			link.abort();
			throw new PeerNotAuthentic('%s knows no valid key', hello.instance);
		}

		const own = options.own();
		const [proof] = shared.prove({side: 'accepting', ...nonces, hello: own});
		options.onDidProve(hello);
		return {hello: own, proof};
	});
}
