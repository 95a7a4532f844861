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
/** Time between rounds in which new facts are pushed, in milliseconds. */
const pushEveryMs = 100;
/** Rounds in which a new fact is pushed, and peers in each; 12 pushes by every member leave out one of 160,000. */
const pushRounds = 3;
const pushFanout = 4;
/** Most facts in one message. */
const factsPerMessage = 32;
/** Bytes of one fact on the wire, for the budget. */
const factBytes = 90;
/** Bytes of facts that a process sends per second: half of the control plane's 16 KB/s. */
const budgetBytesPerSecond = 8192;
/** Lists in a row from which a member is missing before it counts as gone. */
const missesUntilGone = 2;
/** A list that lacks more than this part of the members is taken for a fault of the list. */
const maxMissingPart = 0.5;
/** Time between questions of a process that is catching up, in milliseconds, and the most of them before it goes on as it is. */
const catchUpEveryMs = 100;
const maxCatchUpQuestions = 50;
/** Buckets that a process that is catching up compares at once, outside its budget. */
const catchUpBuckets = 8;
/** A gap between two inputs after which the process counts as paused, in milliseconds. */
const pauseMs = 3000;
/** Time for which a gone member is remembered, in milliseconds: longer than any partition. */
const goneRetentionMs = 24 * 3_600_000;

export type MembershipOptions = {
	readonly id: string;
	readonly address: string;
	/** Greater than that of every earlier run under this id, as far as known; wall-clock milliseconds will do. */
	readonly incarnation: number;
	readonly random: Random;
};

/** Keeps track of which processes are alive, leaving or gone. */
export class Membership {
	readonly #id: string;
	readonly #random: Random;
	readonly #table = new MemberTable();
	/** New facts with the push rounds that they have left. */
	readonly #fresh = new Map<string, number>();
	/** Members of the last list, and those that later lists lack with the number of these. */
	#listed = new Map<string, ListedInstance>();
	readonly #misses = new Map<string, number>();
	readonly #unreachable = new Set<string>();
	readonly #goneAt = new Map<string, number>();
	#peers: readonly string[] | undefined;
	#budget = budgetBytesPerSecond;
	#handledAt: number | undefined;
	#nextExchange = 0;
	#nextPush: number | undefined;
	/** Number of the question whose answer ends catching up; undefined when the process is up to date. */
	#asking: number | undefined;
	#questions = 0;
	#catchUpUntilQuestion = 0;
	/** Facts learned while catching up, not yet acted on. */
	#withheld = new Set<string>();
	#effects: MembershipEffect[] = [];

	constructor(options: MembershipOptions) {
		const {id, incarnation, address, random} = options;
		this.#id = id;
		this.#random = random;
		this.#table.learn({id, incarnation, state: 'alive', address});
		this.#fresh.set(id, pushRounds);
	}

	/** Other members that are not gone. */
	get peers(): readonly string[] {
		this.#peers ??= [...this.#table.values()]
			.filter((fact) => fact.state !== 'gone' && fact.id !== this.#id)
			.map((fact) => fact.id);
		return this.#peers;
	}

	/** Set after a pause until a peer has answered: what is known may be old. */
	get isCatchingUp(): boolean {
		return this.#asking !== undefined;
	}

	get(id: string): MemberFact | undefined {
		return this.#table.get(id);
	}

	/** Whether the last own observation of a member was a lost link. Never passed on, so that a partition makes nobody gone. */
	isUnreachable(id: string): boolean {
		return this.#unreachable.has(id);
	}

	handle(message: MembershipInput, now: number): MembershipEffect[] {
		this.#effects = [];
		this.#observeTime(now);
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
				this.#learn({...own, state: 'leaving'}, now);
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
			fresh: this.#fresh.size,
			unreachable: [...this.#unreachable],
			members: [...this.#table.values()],
		};
	}

	#observeTime(now: number): void {
		const gap = now - (this.#handledAt ?? now);
		if (gap > pauseMs) {
			this.#asking = ++this.#questions;
			this.#catchUpUntilQuestion = this.#asking + maxCatchUpQuestions;
			this.#nextExchange = now;
			this.#misses.clear();
		}

		this.#budget = Math.min(
			budgetBytesPerSecond,
			this.#budget + (gap / 1000) * budgetBytesPerSecond,
		);
		this.#handledAt = now;
		if (this.#fresh.size > 0) {
			this.#nextPush ??= now;
		}
	}

	#onTick(now: number): void {
		if (this.#nextPush !== undefined && this.#nextPush <= now) {
			this.#push(now);
		}

		if (this.#nextExchange <= now) {
			this.#nextExchange = now + jitter(exchangeEveryMs, this.#random);
			this.#forgetGone(now);
			const peer = this.#random.pick(this.peers);
			if (peer !== undefined) {
				this.#send(peer, [], {ask: this.#asking});
			}
		}
	}

	/** Pushes new facts to random peers, those of leaving members first. */
	#push(now: number): void {
		const facts = [...this.#fresh.keys()]
			.map((id) => this.#table.get(id)!)
			.toSorted(
				(a, b) => Number(b.state === 'leaving') - Number(a.state === 'leaving'),
			);
		const affordable = Math.floor(this.#budget / factBytes / pushFanout);
		const sent = facts.slice(0, Math.min(factsPerMessage, affordable));
		const peers = pickDistinct(this.peers, pushFanout, this.#random);
		if (sent.length > 0 && !this.isCatchingUp) {
			this.#budget -= sent.length * factBytes * peers.length;
			for (const peer of peers) {
				this.#send(peer, sent);
			}

			for (const {id} of peers.length > 0 ? sent : []) {
				const rounds = this.#fresh.get(id)! - 1;
				if (rounds > 0) {
					this.#fresh.set(id, rounds);
				} else {
					this.#fresh.delete(id);
				}
			}
		}

		this.#nextPush = this.#fresh.size > 0 ? now + pushEveryMs : undefined;
	}

	#onPeer(peer: string, message: MembersMessage, now: number): void {
		this.#unreachable.delete(peer);
		const better: MemberFact[] = [];
		for (const fact of message.facts) {
			const known = this.#table.get(fact.id);
			this.#learn(fact, now);
			if (known && isNewer(known, fact)) {
				better.push(known);
			}
		}

		if (message.answers !== undefined && message.answers === this.#asking) {
			this.#onAnswer(message.hash, now);
		}

		const isPush = message.facts.length > 0 && message.bucket === undefined;
		if (better.length > 0) {
			this.#send(peer, better.slice(0, factsPerMessage));
		}

		if (message.bucket !== undefined) {
			this.#answerBucket(peer, message.bucket, message.facts);
		} else if (message.buckets) {
			this.#compareBuckets(peer, message.buckets);
		} else if (message.ask !== undefined) {
			const buckets = this.#buckets(message);
			this.#send(peer, [], {answers: message.ask, buckets});
		} else if (!isPush && message.hash !== this.#table.hash) {
			this.#send(peer, [], {buckets: [...this.#table.hashes]});
		}
	}

	/** Ends catching up when the peer holds the same facts, and otherwise asks again after the difference has been sent. */
	#onAnswer(hash: number, now: number): void {
		if (
			hash === this.#table.hash ||
			this.#questions >= this.#catchUpUntilQuestion
		) {
			this.#asking = undefined;
			this.#actOnWithheld();
		} else {
			this.#asking = ++this.#questions;
			this.#nextExchange = now + catchUpEveryMs;
		}
	}

	#buckets(message: MembersMessage): number[] | undefined {
		return message.hash === this.#table.hash
			? undefined
			: [...this.#table.hashes];
	}

	/** Sends the facts of a bucket that differs; which one is random, so that over time all are repaired. */
	#compareBuckets(peer: string, buckets: readonly number[]): void {
		const differing = this.#table.hashes
			.map((hash, index) => (hash === buckets[index] ? -1 : index))
			.filter((index) => index >= 0);
		const count = this.isCatchingUp ? catchUpBuckets : 1;
		for (const bucket of this.#random.sample(differing, count)) {
			const facts = this.#table.bucket(bucket);
			if (this.isCatchingUp || this.#spend(facts.length * factBytes)) {
				this.#send(peer, facts, {bucket});
			}
		}
	}

	/** Sends back the members of a bucket that the peer did not name. */
	#answerBucket(
		peer: string,
		bucket: number,
		named: readonly MemberFact[],
	): void {
		const ids = new Set(named.map((fact) => fact.id));
		const facts = this.#table
			.bucket(bucket)
			.filter((fact) => fact.state !== 'gone' && !ids.has(fact.id));
		if (facts.length > 0 && this.#spend(facts.length * factBytes)) {
			this.#send(peer, facts);
		}
	}

	#spend(bytes: number): boolean {
		if (this.#budget <= 0) {
			return false;
		}

		// May go below zero for one message, which later ones make up for.
		this.#budget -= bytes;
		return true;
	}

	#onList(instances: readonly ListedInstance[], now: number): void {
		for (const {id, address, state} of instances) {
			const known = this.#table.get(id);
			const first = state === 'leaving' ? 'leaving' : 'alive';
			if (!known) {
				// Everybody reads the list, so it is not passed on.
				this.#learn({id, incarnation: 0, state: first, address}, now, false);
			} else if (state === 'leaving') {
				this.#learn({...known, state}, now);
			}
		}

		this.#observeMissing(
			new Map(instances.map((each) => [each.id, each])),
			now,
		);
	}

	#observeMissing(listed: Map<string, ListedInstance>, now: number): void {
		const expected = new Set([...this.#listed.keys(), ...this.#misses.keys()]);
		const missing = [...expected].filter((id) => !listed.has(id));
		if (this.isCatchingUp || missing.length > expected.size * maxMissingPart) {
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
					this.#learn({...known, state: 'gone'}, now);
				}
			}
		}
	}

	#learn(fact: MemberFact, now: number, isPassedOn = true): void {
		const isOwn = fact.id === this.#id;
		const known = this.#table.get(fact.id);
		if (!known && fact.state === 'gone') {
			return;
		}

		if (isOwn && known && isNewer(fact, known) && fact !== known) {
			this.#refute(fact, known);
			return;
		}

		if (!this.#table.learn(fact)) {
			return;
		}

		this.#peers = undefined;
		if (isPassedOn) {
			this.#fresh.set(fact.id, pushRounds);
			this.#nextPush ??= now;
		}

		if (fact.state === 'gone') {
			this.#goneAt.set(fact.id, now);
		} else {
			this.#goneAt.delete(fact.id);
		}

		if (this.isCatchingUp) {
			this.#withheld.add(fact.id);
		} else {
			this.#effects.push({type: 'member', fact});
		}
	}

	/** Others believe something of this process that is not so: a later incarnation says how it is. */
	#refute(fact: MemberFact, own: MemberFact): void {
		const isOwnLeave =
			fact.incarnation === own.incarnation && fact.state === 'leaving';
		const next = isOwnLeave
			? fact
			: {...own, incarnation: fact.incarnation + 1};
		this.#table.learn(next);
		this.#fresh.set(this.#id, pushRounds);
		this.#nextPush ??= this.#handledAt;
		this.#effects.push({type: 'member', fact: next});
	}

	#actOnWithheld(): void {
		for (const id of this.#withheld) {
			const fact = this.#table.get(id);
			if (fact) {
				this.#effects.push({type: 'member', fact});
			}
		}

		this.#withheld = new Set();
	}

	#forgetGone(now: number): void {
		for (const [id, at] of this.#goneAt) {
			if (now - at > goneRetentionMs) {
				this.#goneAt.delete(id);
				this.#table.forget(id);
				this.#fresh.delete(id);
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
