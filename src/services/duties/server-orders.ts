import {Emitter} from '../../base/index.js';
import type {ScaleSubject, ServerOrder} from '../../interfaces/index.js';
import type {ObservationSource} from './subject-observation.js';
import {
	SubjectScaling,
	type OrderCause,
	type SubjectDecision,
} from './subject-scaling.js';

/** Time for which a new holder observes before it decides, in milliseconds: the list of servers has been read again by then, and every gateway has reported several times. */
export const observationMs = 5000;

/** Time between two decisions above which what was observed before no longer counts, in milliseconds: the process was suspended, or did not hold the duty. */
const maxPauseMs = 5000;

/** Change of the number of servers that is ordered, for the log. */
export type OrderChange = ServerOrder & {
	readonly before: number | undefined;
	readonly cause: OrderCause;
	readonly load: number | undefined;
};

/**
 * Decides how many servers each service with scaling limits is to have in each
 * data centre. Made for the one gateway that holds the duty; it observes only
 * when `decide` is called.
 */
export class ServerOrders {
	readonly #source: ObservationSource;
	readonly #onDidChange = new Emitter<OrderChange>();
	#subjects = new Map<
		string,
		{subject: ScaleSubject; scaling: SubjectScaling}
	>();

	#observedSince: number | undefined;
	#lastDecisionAt = Number.NEGATIVE_INFINITY;

	constructor(source: ObservationSource) {
		this.#source = source;
	}

	/** Fires when another number of servers has been decided. */
	readonly onDidChange = this.#onDidChange.event;

	/** Whether there is anything to order; when not, the duty needs no holder. */
	isNeeded(): boolean {
		return this.#source.isNeeded();
	}

	/** Takes over the last orders of the previous holder, which are repeated until this one has observed for long enough. */
	restore(orders: readonly ServerOrder[], now: number): void {
		this.#subjects = new Map(
			orders.map(({service, dataCentre, desired}) => {
				const subject = {service, dataCentre};
				const scaling = new SubjectScaling(desired);
				return [keyOf(subject), {subject, scaling}];
			}),
		);
		this.#observedSince = now;
		this.#lastDecisionAt = now;
	}

	/** All orders in force, by service and data centre. To be called about once a second while the duty is held. */
	decide(now: number): readonly ServerOrder[] {
		this.#forgetEnded();
		if (now - this.#lastDecisionAt > maxPauseMs) {
			this.#startOver(now);
		}

		this.#lastDecisionAt = now;
		this.#observedSince ??= now;
		const isObserving = now - this.#observedSince < observationMs;
		const seen = new Set<string>();
		for (const observation of this.#source.observe(now)) {
			const {service, dataCentre} = observation;
			const subject = {service, dataCentre};
			seen.add(keyOf(subject));
			const scaling = this.#scaling(subject);
			if (isObserving) {
				scaling.observe(observation, now);
				continue;
			}

			const before = scaling.desired;
			this.#report(subject, before, scaling.decide(observation, now));
		}

		if (!isObserving) {
			this.#repeatUnseen(seen);
		}

		return this.#orders();
	}

	#scaling(subject: ScaleSubject): SubjectScaling {
		const key = keyOf(subject);
		let found = this.#subjects.get(key);
		if (!found) {
			found = {subject, scaling: new SubjectScaling(undefined)};
			this.#subjects.set(key, found);
		}

		return found.scaling;
	}

	/** Drops the subjects of services without limits. */
	#forgetEnded(): void {
		for (const [key, {subject}] of this.#subjects) {
			if (!this.#source.limits(subject.service)) {
				this.#subjects.delete(key);
			}
		}
	}

	#startOver(now: number): void {
		for (const {scaling} of this.#subjects.values()) {
			scaling.clear();
		}

		this.#observedSince = now;
	}

	/** Repeats the orders of subjects whose servers have all gone. */
	#repeatUnseen(seen: ReadonlySet<string>): void {
		for (const [key, {subject, scaling}] of this.#subjects) {
			const limits = this.#source.limits(subject.service);
			if (!seen.has(key) && limits) {
				scaling.clear();
				this.#report(subject, scaling.desired, scaling.repeat(limits));
			}
		}
	}

	#report(
		subject: ScaleSubject,
		before: number | undefined,
		decision: SubjectDecision | undefined,
	): void {
		if (decision && decision.desired !== before) {
			this.#onDidChange.fire({...subject, ...decision, before});
		}
	}

	#orders(): ServerOrder[] {
		return [...this.#subjects.values()]
			.flatMap(({subject, scaling: {desired}}) =>
				desired === undefined ? [] : [{...subject, desired}],
			)
			.toSorted((a, b) =>
				keyOf(a) < keyOf(b) ? -1 : Number(keyOf(a) > keyOf(b)),
			);
	}
}

function keyOf({service, dataCentre}: ScaleSubject): string {
	return JSON.stringify([service, dataCentre]);
}
