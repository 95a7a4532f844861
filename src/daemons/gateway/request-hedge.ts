import {
	mayHedge,
	type RequestState,
	type Upstream,
} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import type {Connection} from './connection-pool.js';
import type {ExchangeContext} from './exchange-context.js';
import type {PlacedRequest, RequestPlacement} from './request-placement.js';

export type RequestHedgeOptions = {
	readonly context: ExchangeContext;
	readonly requestId: string;
	readonly isOnce: boolean;
	readonly placement: RequestPlacement;
	/** State of the request; the sends in progress count among its sends. */
	readonly state: () => RequestState;
	readonly hasRetry: () => boolean;
	readonly takeRetry: () => boolean;
};

/** Finds another endpoint for a request whose endpoint is slow. The request is sent there as well, but only once that one has reserved capacity and accepted a connection. */
export class RequestHedge {
	readonly #options: RequestHedgeOptions;

	constructor(options: RequestHedgeOptions) {
		this.#options = options;
	}

	/** Calls `send` with the new place if the request gets one while `isIdle` holds. The retry is taken last, so that a request that gets no place takes none. Capacity that is not used is free again with the next reports, and the estimate of the prefill backlog as time passes. */
	async try(
		isIdle: () => boolean,
		send: (place: PlacedRequest) => void,
	): Promise<void> {
		const {context, placement, state, hasRetry, takeRetry} = this.#options;
		if (!isIdle() || !mayHedge(state(), hasRetry)) {
			return;
		}

		const assignment = placement.choose();
		if (!assignment || !(await placement.reserve(assignment))) {
			return;
		}

		const {upstream} = assignment;
		const connection = await this.#connect(upstream);
		// The slow endpoint may have answered in the meantime.
		await context.loopLag.readSockets();
		// Nothing is awaited from here on, so that the request either holds the place or is not sent there.
		const place =
			connection &&
			isIdle() &&
			placement.mayUse(assignment) &&
			mayHedge(state(), takeRetry)
				? placement.registerPlacement(assignment)
				: undefined;
		if (place) {
			send({...place, connection});
			return;
		}

		if (connection) {
			context.connections.poolFor(upstream).putBack(connection);
		}

		context.log.info('place_unused', {
			request: this.#options.requestId,
			endpoint: upstream.id,
			connected: String(connection !== undefined),
		});
	}

	/** Resolves to a connection to an endpoint; undefined when it accepts none, which counts against its health. */
	async #connect(upstream: Upstream): Promise<Connection | undefined> {
		const {context, isOnce} = this.#options;
		const pool = context.connections.poolFor(upstream);
		const startedAt = monotonicNow();
		const connection = pool.acquire(isOnce ? 'once' : 'repeatable', 'hedge');
		try {
			await connection.connect();
			return connection;
		} catch (error) {
			pool.discard(connection);
			const reason = String(error);
			upstream.ended({type: 'unsent', reason}, startedAt, monotonicNow());
			return undefined;
		}
	}
}
