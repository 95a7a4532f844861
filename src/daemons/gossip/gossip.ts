import {
	DisposableStore,
	hash32,
	Random,
	toDisposable,
	type Disposable,
} from '../../base/index.js';
import {
	callTable,
	type Hello,
	type InstanceList,
	type Settings,
	type Table,
} from '../../interfaces/index.js';
import {
	Membership,
	Spread,
	type Catalogue,
	type CommonEffect,
	type MembershipEffect,
	type MembershipInput,
	type SpreadEffect,
	type SpreadInput,
} from '../../services/index.js';
import {PeerKeys, type AcceptedLink} from '../link/index.js';
import type {Log} from '../log.js';
import {Task} from '../task.js';
import {PeerLinks} from './peer-links.js';

/** Reads of the instance list by the whole fleet, per second. */
const fleetListReadsPerSecond = 100;

/** Least time between two reads of the instance list by one process, in milliseconds. */
const minListIntervalMs = 1000;

/** Time for which a leaving process goes on telling its peers, in milliseconds: three rounds of pushes and one round trip. */
const announceMs = 500;

export type GossipOptions = {
	readonly settings: Settings;
	readonly table: Table;
	readonly instances: InstanceList;
	readonly catalogue: Catalogue;
	readonly log: Log;
	readonly incarnation: string;
	readonly own: () => Hello;
	/** Carries out counters, timings and log lines. */
	readonly carryOut: (effect: Exclude<CommonEffect, {type: 'table'}>) => void;
	/** The records or the instances that the catalogue holds have changed. */
	readonly onDidChange: () => void;
	/** The platform or a peer says that this process is leaving. */
	readonly onDidLeave: () => void;
};

/** Keeps the records in force and the instances of a process up to date, from the platform and from its peers. */
export class Gossip implements Disposable {
	readonly #options: GossipOptions;
	readonly #store = new DisposableStore();
	readonly #links: PeerLinks;
	readonly #membership: Membership;
	readonly #spread: Spread;
	readonly #members: Task<MembershipInput, MembershipEffect>;
	readonly #changes: Task<SpreadInput, SpreadEffect>;
	readonly #random: Random;
	#listTimer: NodeJS.Timeout | undefined;
	#hasList = false;
	#isListFailing = false;
	#hasToldPeers = false;

	constructor(options: GossipOptions) {
		this.#options = options;
		const {process, peers, addresses, limits} = options.settings;
		this.#random = new Random(hash32(`${options.incarnation} gossip`));
		this.#links = this.#store.add(
			new PeerLinks({
				keys: new PeerKeys([peers.key, peers.previous_key]),
				own: options.own,
				idleMs: limits.link_idle_ms,
			}),
		);
		this.#membership = new Membership({
			id: process.instance,
			address: addresses.advertise ?? addresses.peer!,
			incarnation: Date.now(),
			random: this.#random,
		});
		this.#spread = new Spread({id: process.instance, random: this.#random});
		this.#members = this.#store.add(
			new Task(this.#membership, (effect) => {
				this.#onMembershipEffect(effect);
			}),
		);
		this.#changes = this.#store.add(
			new Task(this.#spread, (effect) => {
				this.#onSpreadEffect(effect);
			}),
		);
		this.#connectLinks();
		this.#store.add(
			toDisposable(() => {
				clearTimeout(this.#listTimer);
			}),
		);
	}

	/** Revision of the configuration in force; undefined until the process may take part. */
	get revision(): number | undefined {
		return this.#spread.revision;
	}

	/** Takes a link that a peer has opened. */
	accept(accepted: AcceptedLink): void {
		this.#links.accept(accepted);
	}

	/** Reads the instance list and begins to exchange messages with peers. */
	async start(): Promise<void> {
		await this.#readList();
		this.#members.post({type: 'tick'});
		this.#changes.post({type: 'peers', peers: this.#membership.peers});
		this.#changes.post({type: 'tick'});
	}

	/** Tells the peers that this process is leaving; resolves when they have been told. */
	async leave(): Promise<void> {
		if (!this.#hasToldPeers) {
			this.#hasToldPeers = true;
			this.#members.post({type: 'leave'});
			if (this.#membership.peers.length > 0) {
				await new Promise((resolve) => {
					setTimeout(resolve, announceMs);
				});
			}
		}
	}

	dump(): Record<string, unknown> {
		return {
			spread: this.#spread.dump(),
			membership: this.#membership.dump(),
			peerLinks: this.#links.size,
		};
	}

	dispose(): void {
		this.#store.dispose();
	}

	#connectLinks(): void {
		this.#links.onDidReceive(({peer, message}) => {
			if (message.type === 'members') {
				this.#members.post({type: 'peer', peer, message});
			} else {
				this.#changes.post({type: 'peer', peer, message});
			}
		});
		this.#links.onDidChange(({peer, state}) => {
			this.#members.post({type: 'link', id: peer, state});
		});
	}

	#onMembershipEffect(effect: MembershipEffect): void {
		switch (effect.type) {
			case 'send': {
				this.#send(effect.peer, effect.message);
				break;
			}

			case 'member': {
				this.#onMember(effect);
				break;
			}

			case 'table': {
				throw new Error('membership does not use the table');
			}

			case 'count':
			case 'timing':
			case 'log': {
				this.#options.carryOut(effect);
				break;
			}
		}
	}

	#onMember({fact}: Extract<MembershipEffect, {type: 'member'}>): void {
		const {catalogue, settings, onDidChange, onDidLeave} = this.#options;
		const {id, address, state} = fact;
		if (state === 'gone') {
			catalogue.removeInstance(id);
		} else {
			const listed = state === 'leaving' ? 'leaving' : 'live';
			catalogue.setInstance({id, address, state: listed});
		}

		if (id === settings.process.instance && state === 'leaving') {
			this.#hasToldPeers = true;
			onDidLeave();
		}

		this.#changes.post({type: 'peers', peers: this.#membership.peers});
		onDidChange();
	}

	#onSpreadEffect(effect: SpreadEffect): void {
		const {catalogue, onDidChange, log} = this.#options;
		switch (effect.type) {
			case 'send': {
				this.#send(effect.peer, effect.message);
				break;
			}

			case 'apply': {
				for (const {key, record} of effect.entry.changes) {
					catalogue.set(key, record);
				}

				onDidChange();
				break;
			}

			case 'reset': {
				catalogue.replaceAll(effect.records);
				log.info('records_loaded', {revision: effect.revision});
				onDidChange();
				break;
			}

			case 'table': {
				void this.#callTable(effect);
				break;
			}

			case 'count':
			case 'timing':
			case 'log': {
				this.#options.carryOut(effect);
				break;
			}
		}
	}

	#send(peer: string, message: Parameters<PeerLinks['send']>[2]): void {
		const fact = this.#membership.get(peer);
		if (fact) {
			this.#links.send(peer, fact.address, message);
		}
	}

	async #callTable(
		effect: Extract<CommonEffect, {type: 'table'}>,
	): Promise<void> {
		const answer = await callTable(this.#options.table, effect.call);
		this.#changes.post({type: 'table', id: effect.id, answer});
	}

	async #readList(): Promise<void> {
		try {
			const instances = await this.#options.instances.list();
			this.#hasList = true;
			this.#setListFailing(false);
			this.#members.post({type: 'list', instances});
		} catch (error) {
			this.#setListFailing(true, String(error));
		} finally {
			this.#scheduleList();
		}
	}

	/** Spreads the reads of the fleet over time; a process that has never read the list asks again at the shortest interval. */
	#scheduleList(): void {
		const fleet = this.#hasList ? this.#membership.peers.length + 1 : 1;
		const meanMs = Math.max(
			minListIntervalMs,
			(fleet / fleetListReadsPerSecond) * 1000,
		);
		clearTimeout(this.#listTimer);
		this.#listTimer = setTimeout(
			() => {
				void this.#readList();
			},
			meanMs * (0.5 + this.#random.next()),
		);
	}

	#setListFailing(isFailing: boolean, reason = ''): void {
		if (isFailing === this.#isListFailing) {
			return;
		}

		this.#isListFailing = isFailing;
		if (isFailing) {
			this.#options.log.warn('instance_list_lost', {reason});
		} else {
			this.#options.log.info('instance_list_back');
		}
	}
}
