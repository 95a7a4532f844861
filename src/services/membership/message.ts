import type {
	ListedInstance,
	MemberFact,
	MembersMessage,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';

/** Input of the membership state machine. */
export type MembershipInput =
	| {
			readonly type: 'peer';
			readonly peer: string;
			readonly message: MembersMessage;
	  }
	/** The platform's list of instances, which lags behind. */
	| {readonly type: 'list'; readonly instances: readonly ListedInstance[]}
	/** State of the link from this process to a member. */
	| {
			readonly type: 'link';
			readonly id: string;
			readonly state: 'up' | 'lost';
	  }
	/** This process is leaving. */
	| {readonly type: 'leave'}
	| {readonly type: 'tick'};

/** Output of the membership state machine. */
export type MembershipEffect =
	| CommonEffect
	| {
			readonly type: 'send';
			readonly peer: string;
			readonly message: MembersMessage;
	  }
	/** A fact that is new to this process and must be handled. */
	| {readonly type: 'member'; readonly fact: MemberFact};
