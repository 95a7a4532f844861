import type {Random} from '../../base/index.js';
import type {
	ListedInstance,
	MemberFact,
	MembersMessage,
} from '../../interfaces/index.js';
import {jitter, pickDistinct} from '../spread/index.js';
import {isNewer, MemberTable} from './member-table.js';
import type {MembershipEffect, MembershipInput} from './message.js';

/** Mean time between exchanges with one random peer, in milliseconds. */
const exchangeEveryMs = 1000;
/** Time between push rounds, in milliseconds. */
const pushEveryMs = 100;
/** Rounds in which a new fact is pushed, and peers per round; with 12 pushes by every member, one in 160,000 members is not reached. */
const pushRounds = 3;
const pushFanout = 4;
/** Maximum number of facts in one message. */
const factsPerMessage = 32;
/** Estimated size of a fact on the wire, in bytes, for the budget. */
const factBytes = 90;
/** Bytes of facts that a process sends per second: half of the control plane's 16 KB/s. */
const budgetBytesPerSecond = 8192;
/** Consecutive lists from which a member must be missing before it counts as gone. */
const missesUntilGone = 2;
/** A list that lacks more than this fraction of the expected members is treated as faulty. */
const maxMissingFraction = 0.5;
/** Time between the requests of a process that is catching up, in milliseconds, and their maximum number before it stops catching up, even if it still differs from its peers. */
const catchUpEveryMs = 100;
const maxCatchUpRequests = 50;
/** Buckets that a process that is catching up exchanges at once; these are not limited by the budget. */
const bucketsPerCatchUp = 8;
/** Time between two inputs beyond which the process is considered to have been paused, in milliseconds. */
const pauseMs = 3000;
/** Time for which the fact about a gone member is retained, in milliseconds: longer than any partition. */
const goneRetentionMs = 24 * 3_600_000;

export type MembershipOptions = {
	readonly id: string;
	readonly address: string;
	/** Greater than the incarnation of every earlier run under this id, as far as known; wall-clock milliseconds are sufficient. */
	readonly incarnation: number;
	readonly random: Random;
};

/** Keeps track of which processes are alive, leaving or gone. */
export class Membership {
	readonly #id: string;
	readonly #random: Random;
	readonly #table = new MemberTable();
	/** Number of push rounds left for each new fact, by member id. */
	readonly #pushRoundsLeft = new Map<string, number>();
	/** Members of the last accepted list. */
	#listed = new Map<string, ListedInstance>();
	/** Number of consecutive lists that lacked a member, by id. */
	readonly #misses = new Map<string, number>();
	readonly #unreachable = new Set<string>();
	readonly #goneAt = new Map<string, number>();
	#peers: readonly string[] | undefined;
	#byteBudget = budgetBytesPerSecond;
	#lastInputAt: number | undefined;
	#nextExchange = 0;
	#nextPush: number | undefined;
	/** Number of the request whose answer can end catching up; undefined when the process is up to date. */
	#catchUpRequest: number | undefined;
	#catchUpRequestCount = 0;
	/** Number of the request after which catching up ends in any case. */
	#lastCatchUpRequest = 0;
	/** Members with facts received while catching up, for which no effect has been emitted yet. */
	#deferred = new Set<string>();
	#effects: MembershipEffect[] = [];

	constructor(options: MembershipOptions) {
		const {id, incarnation, address, random} = options;
		this.#id = id;
		this.#random = random;
		this.#table.merge({id, incarnation, state: 'alive', address});
		this.#pushRoundsLeft.set(id, pushRounds);
	}

	/** Other members that are not gone. */
	get peers(): readonly string[] {
		this.#peers ??= [...this.#table.values()]
			.filter((fact) => fact.state !== 'gone' && fact.id !== this.#id)
			.map((fact) => fact.id);
		return this.#peers;
	}

	/** Whether the facts may be outdated: from a pause of the process until they match those of a peer, or the requests are used up. */
	get isCatchingUp(): boolean {
		return this.#catchUpRequest !== undefined;
	}

	get(id: string): MemberFact | undefined {
		return this.#table.get(id);
	}

	/** Whether this process itself last observed a lost link to a member. Never sent to peers, so that a partition does not mark any member as gone. */
	isUnreachable(id: string): boolean {
		return this.#unreachable.has(id);
	}

	handle(message: MembershipInput, now: number): MembershipEffect[] {
		this.#effects = [];
		this.#advanceTime(now);
		switch (message.type) {
			case 'peer': {
				this.#onPeer(message.peer, message.message, now);
				break;
			}

			case 'list': {
				this.#onList(message.instances, now);
				break;
			}

			case 'link': {
				if (message.state === 'lost') {
					this.#unreachable.add(message.id);
				} else {
					this.#unreachable.delete(message.id);
				}

				break;
			}

			case 'leave': {
				const own = this.#table.get(this.#id)!;
				this.#applyFact({...own, state: 'leaving'}, now);
				break;
			}

			case 'tick': {
				this.#onTick(now);
				break;
			}
		}

		return this.#effects;
	}

	nextWake(): number | undefined {
		return Math.min(this.#nextExchange, this.#nextPush ?? Infinity);
	}

	dump(): unknown {
		return {
			id: this.#id,
			catchingUp: this.isCatchingUp,
			hash: this.#table.hash,
			fresh: this.#pushRoundsLeft.size,
			unreachable: [...this.#unreachable],
			members: [...this.#table.values()],
		};
	}

	#advanceTime(now: number): void {
		const gap = now - (this.#lastInputAt ?? now);
		if (gap > pauseMs) {
			this.#catchUpRequest = ++this.#catchUpRequestCount;
			this.#lastCatchUpRequest = this.#catchUpRequest + maxCatchUpRequests;
			this.#nextExchange = now;
			this.#misses.clear();
		}

		this.#byteBudget = Math.min(
			budgetBytesPerSecond,
			this.#byteBudget + (gap / 1000) * budgetBytesPerSecond,
		);
		this.#lastInputAt = now;
		if (this.#pushRoundsLeft.size > 0) {
			this.#nextPush ??= now;
		}
	}

	#onTick(now: number): void {
		if (this.#nextPush !== undefined && this.#nextPush <= now) {
			this.#push(now);
		}

		if (this.#nextExchange <= now) {
			this.#nextExchange = now + jitter(exchangeEveryMs, this.#random);
			this.#removeGone(now);
			const peer = this.#random.pick(this.peers);
			if (peer !== undefined) {
				this.#send(peer, [], {ask: this.#catchUpRequest});
			}
		}
	}

	/** Pushes new facts to random peers, those about leaving members first. */
	#push(now: number): void {
		const facts = [...this.#pushRoundsLeft.keys()]
			.map((id) => this.#table.get(id)!)
			.toSorted(
				(a, b) => Number(b.state === 'leaving') - Number(a.state === 'leaving'),
			);
		const affordable = Math.floor(this.#byteBudget / factBytes / pushFanout);
		const sent = facts.slice(0, Math.min(factsPerMessage, affordable));
		const peers = pickDistinct(this.peers, pushFanout, this.#random);
		if (sent.length > 0 && !this.isCatchingUp) {
			this.#byteBudget -= sent.length * factBytes * peers.length;
			for (const peer of peers) {
				this.#send(peer, sent);
			}

			for (const {id} of peers.length > 0 ? sent : []) {
				const rounds = this.#pushRoundsLeft.get(id)! - 1;
				if (rounds > 0) {
					this.#pushRoundsLeft.set(id, rounds);
				} else {
					this.#pushRoundsLeft.delete(id);
				}
			}
		}

		this.#nextPush =
			this.#pushRoundsLeft.size > 0 ? now + pushEveryMs : undefined;
	}

	#onPeer(peer: string, message: MembersMessage, now: number): void {
		this.#unreachable.delete(peer);
		const newer: MemberFact[] = [];
		for (const fact of message.facts) {
			const known = this.#table.get(fact.id);
			this.#applyFact(fact, now);
			if (known && isNewer(known, fact)) {
				newer.push(known);
			}
		}

		if (
			message.answers !== undefined &&
			message.answers === this.#catchUpRequest
		) {
			this.#onCatchUpAnswer(message.hash, now);
		}

		const isPush = message.facts.length > 0 && message.bucket === undefined;
		if (newer.length > 0) {
			this.#send(peer, newer.slice(0, factsPerMessage));
		}

		if (message.bucket !== undefined) {
			this.#answerBucket(peer, message.bucket, message.facts);
		} else if (message.buckets) {
			this.#compareBuckets(peer, message.buckets);
		} else if (message.ask !== undefined) {
			const buckets = this.#differingHashes(message);
			this.#send(peer, [], {answers: message.ask, buckets});
		} else if (!isPush && message.hash !== this.#table.hash) {
			this.#send(peer, [], {buckets: [...this.#table.bucketHashes]});
		}
	}

	/** Ends catching up when the peer holds the same facts or the requests are used up; otherwise schedules another request, after the difference has been exchanged. */
	#onCatchUpAnswer(hash: number, now: number): void {
		if (
			hash === this.#table.hash ||
			this.#catchUpRequestCount >= this.#lastCatchUpRequest
		) {
			this.#catchUpRequest = undefined;
			this.#emitDeferred();
		} else {
			this.#catchUpRequest = ++this.#catchUpRequestCount;
			this.#nextExchange = now + catchUpEveryMs;
		}
	}

	#differingHashes(message: MembersMessage): number[] | undefined {
		return message.hash === this.#table.hash
			? undefined
			: [...this.#table.bucketHashes];
	}

	/** Sends the facts of a random bucket that differs, so that all are repaired over time; while catching up, of several. */
	#compareBuckets(peer: string, buckets: readonly number[]): void {
		const differing = this.#table.bucketHashes
			.map((hash, index) => (hash === buckets[index] ? -1 : index))
			.filter((index) => index >= 0);
		const count = this.isCatchingUp ? bucketsPerCatchUp : 1;
		for (const bucket of this.#random.sample(differing, count)) {
			const facts = this.#table.bucket(bucket);
			if (this.isCatchingUp || this.#spendBudget(facts.length * factBytes)) {
				this.#send(peer, facts, {bucket});
			}
		}
	}

	/** Sends back the facts of a bucket that are missing from the peer's message. */
	#answerBucket(
		peer: string,
		bucket: number,
		received: readonly MemberFact[],
	): void {
		const ids = new Set(received.map((fact) => fact.id));
		const facts = this.#table
			.bucket(bucket)
			.filter((fact) => fact.state !== 'gone' && !ids.has(fact.id));
		if (facts.length > 0 && this.#spendBudget(facts.length * factBytes)) {
			this.#send(peer, facts);
		}
	}

	#spendBudget(bytes: number): boolean {
		if (this.#byteBudget <= 0) {
			return false;
		}

		// One message may make the budget negative; later ones wait until it is positive again.
		this.#byteBudget -= bytes;
		return true;
	}

	#onList(instances: readonly ListedInstance[], now: number): void {
		for (const {id, address, state} of instances) {
			const known = this.#table.get(id);
			const initialState = state === 'leaving' ? 'leaving' : 'alive';
			if (!known) {
				// Every process reads the list, so the fact is not gossiped.
				this.#applyFact(
					{id, incarnation: 0, state: initialState, address},
					now,
					false,
				);
			} else if (state === 'leaving') {
				this.#applyFact({...known, state}, now);
			}
		}

		this.#detectMissing(new Map(instances.map((each) => [each.id, each])), now);
	}

	#detectMissing(listed: Map<string, ListedInstance>, now: number): void {
		const expected = new Set([...this.#listed.keys(), ...this.#misses.keys()]);
		const missing = [...expected].filter((id) => !listed.has(id));
		if (
			this.isCatchingUp ||
			missing.length > expected.size * maxMissingFraction
		) {
			return;
		}

		this.#listed = listed;
		for (const id of this.#misses.keys()) {
			if (listed.has(id)) {
				this.#misses.delete(id);
			}
		}

		for (const id of missing) {
			const misses = (this.#misses.get(id) ?? 0) + 1;
			this.#misses.set(id, misses);
			const known = this.#table.get(id);
			if (misses >= missesUntilGone) {
				this.#misses.delete(id);
				if (known) {
					this.#applyFact({...known, state: 'gone'}, now);
				}
			}
		}
	}

	#applyFact(fact: MemberFact, now: number, isGossiped = true): void {
		const isOwn = fact.id === this.#id;
		const known = this.#table.get(fact.id);
		if (!known && fact.state === 'gone') {
			return;
		}

		if (isOwn && known && isNewer(fact, known) && fact !== known) {
			this.#refute(fact, known);
			return;
		}

		if (!this.#table.merge(fact)) {
			return;
		}

		this.#peers = undefined;
		if (isGossiped) {
			this.#pushRoundsLeft.set(fact.id, pushRounds);
			this.#nextPush ??= now;
		}

		if (fact.state === 'gone') {
			this.#goneAt.set(fact.id, now);
		} else {
			this.#goneAt.delete(fact.id);
		}

		if (this.isCatchingUp) {
			this.#deferred.add(fact.id);
		} else {
			this.#effects.push({type: 'member', fact});
		}
	}

	/** Overrides a wrong fact about this process by one with a higher incarnation (as in SWIM). Its own leaving is accepted as it is. */
	#refute(fact: MemberFact, own: MemberFact): void {
		const isOwnLeave =
			fact.incarnation === own.incarnation && fact.state === 'leaving';
		const next = isOwnLeave
			? fact
			: {...own, incarnation: fact.incarnation + 1};
		this.#table.merge(next);
		this.#pushRoundsLeft.set(this.#id, pushRounds);
		this.#nextPush ??= this.#lastInputAt;
		this.#effects.push({type: 'member', fact: next});
	}

	#emitDeferred(): void {
		for (const id of this.#deferred) {
			const fact = this.#table.get(id);
			if (fact) {
				this.#effects.push({type: 'member', fact});
			}
		}

		this.#deferred = new Set();
	}

	#removeGone(now: number): void {
		for (const [id, at] of this.#goneAt) {
			if (now - at > goneRetentionMs) {
				this.#goneAt.delete(id);
				this.#table.remove(id);
				this.#pushRoundsLeft.delete(id);
			}
		}
	}

	#send(
		peer: string,
		facts: MemberFact[],
		extra: Partial<MembersMessage> = {},
	): void {
		this.#effects.push({
			type: 'send',
			peer,
			message: {type: 'members', facts, hash: this.#table.hash, ...extra},
		});
	}
}
