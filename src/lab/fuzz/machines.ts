import type {Random} from '../../base/index.js';
import {
	Entry,
	Scheduler,
	Sidecar,
	type EntryEffect,
	type EntryMessage,
	type SidecarEffect,
	type SidecarMessage,
} from '../../services/index.js';
import type {Machine} from './host.js';

export type EntryMachine = Machine<EntryMessage, EntryEffect>;
export type SidecarMachine = Machine<SidecarMessage, SidecarEffect>;

/** Replaces a machine by a faulty one, to prove that the oracle notices. */
export type Sabotage = {
	readonly entry?: (machine: EntryMachine) => EntryMachine;
	readonly sidecar?: (machine: SidecarMachine) => SidecarMachine;
};

export function createEntry(random: Random): EntryMachine {
	return new Entry({
		place: {dataCentre: 'bole', region: 'addis'},
		random,
		textOf: (chunks) => chunks.join(''),
	});
}

export function createSidecar(incarnation: string): SidecarMachine {
	return new Sidecar({incarnation, scheduler: new Scheduler()});
}
