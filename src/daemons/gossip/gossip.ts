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
import {StateMachineRunner} from '../state-machine.js';
import {PeerLinks} from './peer-links.js';

/** Maximum mean rate at which the whole fleet reads the instance list, in reads per second. */
const fleetListReadsPerSecond = 100;

/** Minimum mean interval between two reads of the instance list by one process, in milliseconds. */
const minListIntervalMs = 1000;

/** Time for which a leaving process continues to inform its peers, in milliseconds: three rounds of pushes and one round trip. */
const leavingNoticeMs = 500;

export type GossipOptions = {
	readonly settings: Settings;
	readonly table: Table;
	readonly instances: InstanceList;
	readonly catalogue: Catalogue;
	readonly log: Log;
	readonly incarnation: string;
	readonly localHello: () => Hello;
	/** Applies effects that count, time or log. */
	readonly applyEffect: (
		effect: Exclude<CommonEffect, {type: 'table'}>,
	) => void;
	/** Called when the records or instances in the catalogue have changed. */
	readonly onDidChange: () => void;
	/** Called when the platform or a peer reports this process as leaving. */
	readonly onDidReceiveLeaving: () => void;
};

/** Keeps a process's configuration records and instance list up to date, from the platform and from its peers. */
export class Gossip implements Disposable {
	readonly #options: GossipOptions;
	readonly #store = new DisposableStore();
	readonly #links: PeerLinks;
	readonly #membership: Membership;
	readonly #spread: Spread;
	readonly #membershipRunner: StateMachineRunner<
		MembershipInput,
		MembershipEffect
	>;

	readonly #spreadRunner: StateMachineRunner<SpreadInput, SpreadEffect>;
	readonly #random: Random;
	#listTimer: NodeJS.Timeout | undefined;
	#hasList = false;
	#isListFailing = false;
	#hasAnnouncedLeaving = false;

	constructor(options: GossipOptions) {
		this.#options = options;
		const {process, peers, addresses, limits} = options.settings;
		this.#random = new Random(hash32(`${options.incarnation} gossip`));
		this.#links = this.#store.add(
			new PeerLinks({
				keys: new PeerKeys([peers.key, peers.previous_key]),
				localHello: options.localHello,
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
		this.#membershipRunner = this.#store.add(
			new StateMachineRunner(this.#membership, (effect) => {
				this.#onMembershipEffect(effect);
			}),
		);
		this.#spreadRunner = this.#store.add(
			new StateMachineRunner(this.#spread, (effect) => {
				this.#onSpreadEffect(effect);
			}),
		);
		this.#subscribeToLinks();
		this.#store.add(
			toDisposable(() => {
				clearTimeout(this.#listTimer);
			}),
		);
	}

	/** Revision of the configuration in effect; undefined until one is loaded, before which the process is not ready. */
	get revision(): number | undefined {
		return this.#spread.revision;
	}

	/** Registers a link that a peer has opened. */
	accept(accepted: AcceptedLink): void {
		this.#links.accept(accepted);
	}

	/** Reads the instance list and begins to exchange messages with peers. */
	async start(): Promise<void> {
		await this.#readList();
		this.#membershipRunner.post({type: 'tick'});
		this.#spreadRunner.post({type: 'peers', peers: this.#membership.peers});
		this.#spreadRunner.post({type: 'tick'});
	}

	/** Announces to the peers that this process is leaving; resolves after `leavingNoticeMs`, or at once when there are none or it has been announced before. */
	async leave(): Promise<void> {
		if (!this.#hasAnnouncedLeaving) {
			this.#hasAnnouncedLeaving = true;
			this.#membershipRunner.post({type: 'leave'});
			if (this.#membership.peers.length > 0) {
				await new Promise((resolve) => {
					setTimeout(resolve, leavingNoticeMs);
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

	#subscribeToLinks(): void {
		this.#links.onDidReceive(({peer, message}) => {
			if (message.type === 'members') {
				this.#membershipRunner.post({type: 'peer', peer, message});
			} else {
				this.#spreadRunner.post({type: 'peer', peer, message});
			}
		});
		this.#links.onDidChange(({peer, state}) => {
			this.#membershipRunner.post({type: 'link', id: peer, state});
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
				this.#options.applyEffect(effect);
				break;
			}
		}
	}

	#onMember({fact}: Extract<MembershipEffect, {type: 'member'}>): void {
		const {catalogue, settings, onDidChange, onDidReceiveLeaving} =
			this.#options;
		const {id, address, state} = fact;
		if (state === 'gone') {
			catalogue.removeInstance(id);
		} else {
			const instanceState = state === 'leaving' ? 'leaving' : 'live';
			catalogue.setInstance({id, address, state: instanceState});
		}

		if (id === settings.process.instance && state === 'leaving') {
			this.#hasAnnouncedLeaving = true;
			onDidReceiveLeaving();
		}

		this.#spreadRunner.post({type: 'peers', peers: this.#membership.peers});
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
				this.#options.applyEffect(effect);
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
		this.#spreadRunner.post({type: 'table', id: effect.id, answer});
	}

	async #readList(): Promise<void> {
		try {
			const instances = await this.#options.instances.list();
			this.#hasList = true;
			this.#setListFailing(false);
			this.#membershipRunner.post({type: 'list', instances});
		} catch (error) {
			this.#setListFailing(true, String(error));
		} finally {
			this.#scheduleListRead();
		}
	}

	/** Schedules the next read after a random time around a mean that grows with the fleet, so that the fleet's reads spread out. Until a read has succeeded, the mean is `minListIntervalMs`. */
	#scheduleListRead(): void {
		const fleetSize = this.#hasList ? this.#membership.peers.length + 1 : 1;
		const meanIntervalMs = Math.max(
			minListIntervalMs,
			(fleetSize / fleetListReadsPerSecond) * 1000,
		);
		clearTimeout(this.#listTimer);
		this.#listTimer = setTimeout(
			() => {
				void this.#readList();
			},
			meanIntervalMs * (0.5 + this.#random.next()),
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
