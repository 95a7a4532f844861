import * as z from 'zod';
import type {UsageNotice} from '../../services/duties/index.js';

/** First element of a message on the wire. */
export const dutyMessageTypes = {heartbeat: 20, usageCounts: 21} as const;

/** Lease that the sender of a heartbeat holds. */
export type HeldLease = {
	readonly duty: string;
	readonly token: number;
	/** Era and version of the duty's row that the sender has written last. */
	readonly era: number;
	readonly version: number;
};

/** Datagrams about singleton duties. */
export type DutyMessage =
	| {
			readonly type: 'duty heartbeat';
			readonly gateway: string;
			/** The sender's time of day, in milliseconds since 1970. */
			readonly wallMs: number;
			/** The sender lacks the other gateways' times of day. */
			readonly wantsAnswer: boolean;
			readonly leases: readonly HeldLease[];
	  }
	| ({readonly type: 'usage counts'} & UsageNotice);

const ordinal = z.number().int().nonnegative();

/** Forms on the wire, tuples without field names. */
export const dutyWireMessages = [
	/** Gateway, time of day in milliseconds, 1 to ask for an answer; duty, token, era and row version of held leases. */
	z.tuple([
		z.literal(dutyMessageTypes.heartbeat),
		z.string(),
		z.number(),
		z.number(),
		z.array(z.tuple([z.string(), ordinal, ordinal, ordinal])),
	]),
	/** Process, last closed window; window, workspace and its requests. */
	z.tuple([
		z.literal(dutyMessageTypes.usageCounts),
		z.string(),
		z.number().int(),
		z.array(z.tuple([ordinal, z.array(z.tuple([z.string(), ordinal]))])),
	]),
] as const;

export type DutyWireMessage = z.infer<(typeof dutyWireMessages)[number]>;

export function dutyToWire(message: DutyMessage): DutyWireMessage {
	switch (message.type) {
		case 'duty heartbeat': {
			const {gateway, wallMs, wantsAnswer, leases} = message;
			return [
				dutyMessageTypes.heartbeat,
				gateway,
				wallMs,
				Number(wantsAnswer),
				leases.map(({duty, token, era, version}) => [
					duty,
					token,
					era,
					version,
				]),
			];
		}

		case 'usage counts': {
			const {source, closedThrough, windows} = message;
			return [
				dutyMessageTypes.usageCounts,
				source,
				closedThrough,
				windows.map(({window, counts}) => [
					window,
					counts.map(([workspace, count]) => [workspace, count]),
				]),
			];
		}
	}
}

export function dutyFromWire(wire: DutyWireMessage): DutyMessage {
	switch (wire[0]) {
		case dutyMessageTypes.heartbeat: {
			const [, gateway, wallMs, wantsAnswer, leases] = wire;
			return {
				type: 'duty heartbeat',
				gateway,
				wallMs,
				wantsAnswer: wantsAnswer === 1,
				leases: leases.map(([duty, token, era, version]) => ({
					duty,
					token,
					era,
					version,
				})),
			};
		}

		case dutyMessageTypes.usageCounts: {
			const [, source, closedThrough, windows] = wire;
			return {
				type: 'usage counts',
				source,
				closedThrough,
				windows: windows.map(([window, counts]) => ({window, counts})),
			};
		}
	}
}
