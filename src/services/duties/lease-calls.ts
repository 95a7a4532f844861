import type {Clocks} from '../gateway/confirmation.js';
import type {LeaseRecord} from './lease-record.js';

export type LeaseOptions = {
	/** Name of this gateway. */
	readonly holder: string;
	/** Unique for each process. */
	readonly incarnation: string;
	/** Time for which a holder may act after its last write, and others wait, in milliseconds. */
	readonly leaseMs: number;
	/** Time by which a holder stops earlier and others wait longer, in milliseconds. */
	readonly marginMs: number;
};

/** What a heartbeat says about a held lease. */
export type LeaseNotice = {
	readonly token: number;
	readonly era: number;
	/** Version of the duty's row that the holder has written last. */
	readonly version: number;
};

/** Conditional write of a duty's row. */
export type LeaseWrite = {
	readonly purpose: 'acquire' | 'renew' | 'release';
	readonly era: number;
	readonly expectedVersion: number;
	readonly record: LeaseRecord;
	readonly sentAt: Clocks;
};

/** The call that is due. */
export type LeaseCall = 'none' | 'read' | LeaseWrite['purpose'];
