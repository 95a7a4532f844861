import type {Schedule} from '../../interfaces/index.js';

/** What a schedule or a placement asks of an endpoint. */
export type Action = Schedule['action'];

/** An action on the endpoint that is in progress or waits for earlier ones. */
export type Task = {
	readonly id: string;
	readonly action: Action;
	readonly force: boolean;
	/** Models whose removal is still to be claimed. */
	readonly removals: string[];
	stage: 'removal' | 'grant' | 'command' | 'drain';
	/** An answer from outside is awaited. */
	isWaiting: boolean;
	/** Time before which nothing is tried. */
	notBefore: number;
	tries: number;
};
