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

/** Replaces a machine with a faulty one, to verify that the properties detect the fault. */
export type MachineMutation = {
	readonly entry?: (machine: EntryMachine) => EntryMachine;
	readonly sidecar?: (machine: SidecarMachine) => SidecarMachine;
};

/** Wall-clock time at virtual time 0, in milliseconds since 1970. */
const wallClockStartMs = 1_700_000_000_000;

/** Inputs of a process at its start. */
export type ProcessOptions = {
	readonly random: Random;
	/** Offset of its monotonic clock from virtual time, in milliseconds. */
	readonly clockOffsetMs: number;
	readonly incarnation: string;
	readonly name: string;
};

export function createEntry({
	random,
	clockOffsetMs,
}: ProcessOptions): EntryMachine {
	return new Entry({
		locality: {dataCentre: 'bole', region: 'addis'},
		random,
		textOf: (chunks) => chunks.join(''),
		epochMs: wallClockStartMs - clockOffsetMs,
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
		epochMs: wallClockStartMs - clockOffsetMs,
	});
}
