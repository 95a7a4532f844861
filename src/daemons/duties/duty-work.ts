import type {
	CloudCallGuard,
	CloudCallResult,
	DutyRight,
} from '../../interfaces/index.js';
import type {UsageTakeover} from '../../services/duties/index.js';

/** How a gateway became the holder of a duty. */
export type Takeover = UsageTakeover;

/** Call to the platform's API that is due. */
export type DutyCall = {
	send(right: DutyRight, guard: CloudCallGuard): Promise<CloudCallResult>;
	ended(result: CloudCallResult): void;
};

/** What one duty does while this gateway holds it; its state is kept in the duty's row. */
export type DutyWork = {
	readonly duty: string;
	/** Whether the duty exists at present; without it the lease is not taken. */
	isNeeded(): boolean;
	/** State for a row without one. */
	initialState(takeover: Takeover): unknown;
	/** This gateway has become the holder, and the row has this state. */
	adopt(state: unknown, takeover: Takeover): void;
	/** The row is known to have a state that this work has composed. */
	acknowledge(state: unknown): void;
	/** Whether the state should be written soon. */
	hasNews(): boolean;
	/** State for the next write of the row. */
	compose(): unknown;
	/** The call that is due; undefined when there is none. Only called while this gateway may act. */
	dueCall(): DutyCall | undefined;
	/** Snapshot for operators. */
	dump(): Readonly<Record<string, unknown>>;
};
