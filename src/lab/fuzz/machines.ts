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

/** Wall-clock time at virtual time 0, in milliseconds since 1970. */
const startedAtMs = 1_700_000_000_000;

/** What a process knows when it starts. */
export type ProcessOptions = {
	readonly random: Random;
	/** Difference of its monotonic clock to virtual time, in milliseconds. */
	readonly clockOffsetMs: number;
	readonly incarnation: string;
	readonly name: string;
};

export function createEntry({
	random,
	clockOffsetMs,
}: ProcessOptions): EntryMachine {
	return new Entry({
		place: {dataCentre: 'bole', region: 'addis'},
		random,
		textOf: (chunks) => chunks.join(''),
		epochMs: startedAtMs - clockOffsetMs,
	});
}

export function createSidecar({
	random,
	clockOffsetMs,
	incarnation,
	name,
}: ProcessOptions): SidecarMachine {
	return new Sidecar({
		endpoint: name,
		incarnation,
		scheduler: new Scheduler(random),
		epochMs: startedAtMs - clockOffsetMs,
	});
}
