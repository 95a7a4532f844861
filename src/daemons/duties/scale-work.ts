import * as z from 'zod';
import type {
	CloudApi,
	CloudCallResult,
	ServerOrder,
} from '../../interfaces/index.js';
import {readClocks} from '../gateway/clocks.js';
import type {Log} from '../log.js';
import type {DutyCall, DutyWork} from './duty-work.js';

/** Interval between two decisions, in milliseconds. */
const decisionIntervalMs = 1000;

/** First and longest delay before a failed call is repeated, in milliseconds. */
const minRetryMs = 500;
const maxRetryMs = 8000;

const scaleState = z.object({
	orders: z.array(
		z.object({
			service: z.string(),
			dataCentre: z.string(),
			desired: z.number().int().nonnegative(),
		}),
	),
});

/** Decides how many servers are wanted. Times are those of the monotonic clock, in milliseconds. */
export type OrderDecisions = {
	/** Whether some service has scaling limits; without one no lease is taken. */
	isNeeded(): boolean;
	/** Called about once a second while this gateway holds the duty; returns the orders in force. */
	decide(now: number): readonly ServerOrder[];
	/** This gateway has become the holder, and these are the last orders. */
	restore(orders: readonly ServerOrder[], now: number): void;
};

export type ScaleWorkOptions = {
	readonly api: CloudApi;
	readonly orders: OrderDecisions;
	readonly log: Log;
	readonly onDidOrder: (result: 'accepted' | 'refused' | 'failed') => void;
};

/** Orders servers for all gateways. An order is sent once the duty's row holds it. */
export class ScaleWork implements DutyWork {
	readonly #options: ScaleWorkOptions;
	/** Orders by subject: decided, held by the row, and accepted by the platform in this tenure. */
	#decided = new Map<string, ServerOrder>();
	#stored = new Map<string, ServerOrder>();
	readonly #accepted = new Map<string, number>();
	#decidedAt = Number.NEGATIVE_INFINITY;
	#retryAt = Number.NEGATIVE_INFINITY;
	#failures = 0;

	constructor(options: ScaleWorkOptions) {
		this.#options = options;
	}

	get duty(): string {
		return 'scale';
	}

	isNeeded(): boolean {
		return this.#options.orders.isNeeded();
	}

	initialState(): unknown {
		return {orders: []};
	}

	adopt(state: unknown): void {
		this.acknowledge(state);
		this.#decided = new Map(this.#stored);
		this.#accepted.clear();
		this.#failures = 0;
		this.#retryAt = Number.NEGATIVE_INFINITY;
		const now = readClocks().monotonicMs;
		this.#decidedAt = now;
		this.#options.orders.restore([...this.#stored.values()], now);
	}

	acknowledge(state: unknown): void {
		const orders = scaleState.safeParse(state).data?.orders ?? [];
		this.#stored = new Map(orders.map((order) => [subjectKey(order), order]));
	}

	hasNews(): boolean {
		this.#decide();
		return [...this.#decided].some(
			([key, {desired}]) => this.#stored.get(key)?.desired !== desired,
		);
	}

	compose(): unknown {
		return {orders: [...this.#decided.values()]};
	}

	dueCall(): DutyCall | undefined {
		if (readClocks().monotonicMs < this.#retryAt) {
			return undefined;
		}

		for (const [key, order] of this.#stored) {
			// An order that has been replaced is not sent any more.
			const isCurrent = this.#decided.get(key)?.desired === order.desired;
			if (isCurrent && this.#accepted.get(key) !== order.desired) {
				return {
					send: async (right, guard) =>
						this.#options.api.orderServers(order, right, guard),
					ended: (result) => {
						this.#ended(order, result);
					},
				};
			}
		}

		return undefined;
	}

	dump(): Readonly<Record<string, unknown>> {
		return {orders: [...this.#stored.values()]};
	}

	#decide(): void {
		const now = readClocks().monotonicMs;
		if (now - this.#decidedAt >= decisionIntervalMs) {
			this.#decidedAt = now;
			for (const order of this.#options.orders.decide(now)) {
				const {service, dataCentre, desired} = order;
				this.#decided.set(subjectKey(order), {service, dataCentre, desired});
			}
		}
	}

	#ended(order: ServerOrder, result: CloudCallResult): void {
		const {log, onDidOrder} = this.#options;
		const {service, dataCentre, desired} = order;
		const fields = {service, data_centre: dataCentre, desired};
		switch (result.type) {
			case 'accepted': {
				this.#accepted.set(subjectKey(order), desired);
				this.#failures = 0;
				onDidOrder('accepted');
				log.info('order_accepted', fields);
				break;
			}

			case 'refused': {
				this.#retryLater(result.retryAfterMs ?? 0);
				onDidOrder('refused');
				log.warn('order_refused', {...fields, status: result.status});
				break;
			}

			case 'failed': {
				// The order may have been accepted, so an earlier one is no longer known to be in force.
				this.#accepted.delete(subjectKey(order));
				this.#retryLater(0);
				onDidOrder('failed');
				log.warn('order_failed', {...fields, reason: result.reason});
				break;
			}

			case 'not sent': {
				break;
			}
		}
	}

	#retryLater(retryAfterMs: number): void {
		const delayMs = Math.min(maxRetryMs, minRetryMs * 2 ** this.#failures);
		this.#failures++;
		this.#retryAt =
			readClocks().monotonicMs +
			Math.max(delayMs, Math.min(retryAfterMs, 4 * maxRetryMs));
	}
}

function subjectKey({service, dataCentre}: ServerOrder): string {
	return JSON.stringify([service, dataCentre]);
}
