import type {
	EndpointView,
	EntryEffect,
	EntryMessage,
	SidecarEffect,
	SidecarMessage,
} from '../../services/index.js';
import {VirtualClock} from '../virtual-clock.js';
import {Callers} from './callers.js';
import {FakeEndpoint} from './fake-endpoint.js';
import {FakeTable} from './fake-table.js';
import {History} from './history.js';
import {Host} from './host.js';
import {createEntry, createSidecar, type MachineMutation} from './machines.js';
import {Network, type EntryHost, type SidecarHost} from './network.js';
import type {Plan, RequestStep, Step} from './plan.js';
import {findRetainedState} from './retained-state.js';
import {ReturningCallers} from './returning-callers.js';
import {RandomStreams} from './random-streams.js';

/** Time from the end of all steps until probes are sent, in milliseconds; longer than any timeout of a plan and any retention. */
const probeDelayMs = 30_000;

/** Time from the probes to the end of the run, in milliseconds. */
const drainMs = 90_000;

/** Delay until the instance list shows an endpoint as leaving, and until the platform restarts a drained process, in milliseconds. */
const instanceListLagMs = 3000;
const restartDelayMs = 500;
const loadReportIntervalMs = 500;

/** An endpoint and its sidecar. */
type EndpointNode = {
	readonly host: SidecarHost;
	readonly endpoint: FakeEndpoint;
	readonly kind: 'engine' | 'service';
	/** Time from which the instance list shows it as leaving. */
	listedLeavingAt: number;
};

/** Runs a plan in virtual time, with simulated callers, network, endpoints and table around the real state machines of entries and sidecars. */
export class Simulation {
	readonly history: History;
	readonly #plan: Plan;
	readonly #mutation: MachineMutation;
	readonly #clock = new VirtualClock();
	readonly #randomStreams: RandomStreams;
	readonly #network: Network;
	readonly #table: FakeTable;
	readonly #callers: Callers;
	readonly #returningCallers: ReturningCallers;
	readonly #entries: EntryHost[] = [];
	readonly #endpointNodes: EndpointNode[] = [];
	/** Time at which all faults and all timeouts of the plan have ended. */
	readonly #stepsEndAt: number;
	#requestCount = 0;

	constructor(plan: Plan, mutation: MachineMutation = {}) {
		this.history = new History(plan.shares);
		this.#plan = plan;
		this.#mutation = mutation;
		this.#randomStreams = new RandomStreams(plan.seed);
		this.#stepsEndAt = Math.max(
			0,
			...plan.steps.map((step) => endOfStep(step)),
		);
		this.#network = new Network(
			this.#clock,
			this.#randomStreams,
			plan.lossy ? this.#stepsEndAt : 0,
		);
		this.#table = new FakeTable(this.#clock, this.#randomStreams.get('table'));
		this.#callers = new Callers(
			this.#clock,
			this.history,
			plan,
			(sent, step) => {
				this.#returningCallers.onReturn(
					sent,
					step,
					this.#entryAt(step.returnEntry ?? 0),
				);
			},
		);
		this.#returningCallers = new ReturningCallers(
			this.#clock,
			this.history,
			(target) => this.#endpointsOf(target),
		);
		for (let n = 0; n < plan.entries; n++) {
			this.#entries.push(this.#createEntry(`entry-${n}`));
		}

		for (let n = 0; n < plan.engines; n++) {
			this.#endpointNodes.push(
				this.#createEndpointNode(`engine-${n}`, 'engine'),
			);
		}

		for (let n = 0; n < plan.services; n++) {
			this.#endpointNodes.push(
				this.#createEndpointNode(`service-${n}`, 'service'),
			);
		}
	}

	/** Runs the plan, then probes every target, then waits until everything should have drained. */
	run(): History {
		for (const step of this.#plan.steps) {
			this.#clock.at(step.at, () => {
				this.#apply(step);
			});
		}

		this.#clock.at(this.#stepsEndAt + probeDelayMs, () => {
			this.#sendProbes();
		});
		this.#clock.runUntil(this.#stepsEndAt + probeDelayMs + drainMs);
		for (const host of [
			...this.#entries,
			...this.#endpointNodes.map((node) => node.host),
		]) {
			this.history.retainedState.push(
				...findRetainedState(host.name, host.dump()),
			);
		}

		return this.history;
	}

	#createEntry(name: string): EntryHost {
		const clockOffsetMs = this.#clockOffset(name);
		const host: EntryHost = new Host<EntryMessage, EntryEffect>({
			name,
			clock: this.#clock,
			history: this.history,
			tick: {type: 'tick'},
			clockOffsetMs,
			create: (incarnation) => {
				const random = this.#randomStreams.get(incarnation);
				const machine = createEntry({random, clockOffsetMs, incarnation, name});
				return this.#mutation.entry?.(machine) ?? machine;
			},
			onEffect: (effect) => {
				this.#onEntryEffect(host, effect);
			},
		});
		host.start();
		return host;
	}

	#createEndpointNode(name: string, kind: 'engine' | 'service'): EndpointNode {
		const clockOffsetMs = this.#clockOffset(name);
		const host: SidecarHost = new Host<SidecarMessage, SidecarEffect>({
			name,
			clock: this.#clock,
			history: this.history,
			tick: {type: 'tick'},
			clockOffsetMs,
			create: (incarnation) => {
				const random = this.#randomStreams.get(incarnation);
				const machine = createSidecar({
					random,
					clockOffsetMs,
					incarnation,
					name,
				});
				return this.#mutation.sidecar?.(machine) ?? machine;
			},
			onEffect: (effect) => {
				this.#onSidecarEffect(node, effect);
			},
		});
		const endpoint = new FakeEndpoint({
			name,
			kind,
			clock: this.#clock,
			history: this.history,
			random: this.#randomStreams.get(`endpoint ${name}`),
			gapMs: this.#plan.engineGapMs,
		});
		const node: EndpointNode = {
			host,
			endpoint,
			kind,
			listedLeavingAt: Number.POSITIVE_INFINITY,
		};
		this.#startSidecar(node);
		return node;
	}

	#clockOffset(name: string): number {
		return this.#randomStreams.get(`clock ${name}`).integer(1_000_000);
	}

	#startSidecar(node: EndpointNode): void {
		const {host} = node;
		host.start();
		const incarnation = host.incarnation!;
		node.listedLeavingAt = Number.POSITIVE_INFINITY;
		host.deliver(incarnation, {
			type: 'targets',
			targets: [node.kind === 'engine' ? 'model' : 'service'],
		});
		this.#reportLoad(node, incarnation);
	}

	/** Delivers the load of an endpoint to its sidecar one interval late, and so on until the sidecar ends. */
	#reportLoad(node: EndpointNode, incarnation: string): void {
		const {running} = node.endpoint;
		this.#clock.after(loadReportIntervalMs, () => {
			if (node.host.incarnation !== incarnation) {
				return;
			}

			node.host.deliver(incarnation, {
				type: 'load',
				report: {
					running,
					waiting: 0,
					kvTokens: running * 200,
					kvCapacity: 100_000,
				},
			});
			this.#reportLoad(node, incarnation);
		});
	}

	#onEntryEffect(host: EntryHost, effect: EntryEffect): void {
		const incarnation = host.incarnation!;
		switch (effect.type) {
			case 'send': {
				const node = this.#endpointNodes.find(
					({host: sidecar}) => sidecar.name === effect.endpoint,
				)!;
				this.#network.sendUp(host, node.host, effect.message);
				break;
			}

			case 'head': {
				this.#receiverOf(effect.requestId).onHead(effect);
				break;
			}

			case 'chunk': {
				this.#receiverOf(effect.requestId).onChunk(effect, host, incarnation);
				break;
			}

			case 'end': {
				this.#receiverOf(effect.requestId).onEnd(effect);
				break;
			}

			case 'table': {
				this.#table.call(effect.call, (answer) => {
					host.deliver(incarnation, {type: 'table', id: effect.id, answer});
				});
				break;
			}

			case 'drained': {
				this.#clock.after(0, () => {
					this.#onDrained(incarnation, () =>
						this.#callers.waitingAt(incarnation).map(({id}) => id),
					);
				});
				this.#clock.after(0, () => {
					this.#endEntry(host, incarnation, 'graceful', restartDelayMs);
				});
				break;
			}

			case 'status': {
				this.#returningCallers.onStatus(effect.id, effect.status);
				break;
			}

			case 'count':
			case 'timing':
			case 'log': {
				break;
			}
		}
	}

	#onSidecarEffect(node: EndpointNode, effect: SidecarEffect): void {
		const {host, endpoint} = node;
		const incarnation = host.incarnation!;
		switch (effect.type) {
			case 'send': {
				this.#network.sendDown(effect.link, effect.message);
				break;
			}

			case 'run': {
				endpoint.run(
					`${incarnation} ${effect.attempt}`,
					effect.call,
					effect.resume,
					(event) => {
						this.#clock.after(0.3, () => {
							host.deliver(incarnation, {
								type: 'endpoint',
								attempt: effect.attempt,
								event,
							});
						});
					},
				);
				break;
			}

			case 'stopRun': {
				endpoint.stop(`${incarnation} ${effect.attempt}`);
				break;
			}

			case 'pauseRun':
			case 'resumeRun': {
				endpoint.setPaused(
					`${incarnation} ${effect.attempt}`,
					effect.type === 'pauseRun',
				);
				break;
			}

			case 'table': {
				this.#table.call(effect.call, (answer) => {
					host.deliver(incarnation, {type: 'table', id: effect.id, answer});
				});
				break;
			}

			case 'drained': {
				this.#clock.after(0, () => {
					this.#onDrained(incarnation, () =>
						endpoint.connections(`${incarnation} `),
					);
				});
				this.#clock.after(0, () => {
					this.#endSidecar(node, incarnation, 'graceful', restartDelayMs);
				});
				break;
			}

			case 'count':
			case 'timing':
			case 'log': {
				break;
			}
		}
	}

	#onDrained(incarnation: string, unfinishedWork: () => string[]): void {
		const leave = this.history.leaves.find(
			(item) => item.incarnation === incarnation,
		);
		if (leave && leave.drainedAt === undefined && !leave.isKilled) {
			leave.drainedAt = this.#clock.now;
			leave.cut.push(...unfinishedWork());
		}
	}

	#endEntry(
		host: EntryHost,
		incarnation: string,
		how: 'graceful' | 'reset' | 'silent',
		downMs: number,
	): void {
		if (host.incarnation !== incarnation) {
			return;
		}

		this.#recordExit(incarnation);
		this.#network.onExit(host, how);
		this.#callers.onEntryExit(incarnation);
		this.#returningCallers.onEntryExit(incarnation);
		host.kill();
		this.#clock.after(downMs, () => {
			host.start();
		});
	}

	#endSidecar(
		node: EndpointNode,
		incarnation: string,
		how: 'graceful' | 'reset' | 'silent',
		downMs: number,
	): void {
		if (node.host.incarnation !== incarnation) {
			return;
		}

		this.#recordExit(incarnation);
		this.#network.onExit(node.host, how);
		node.endpoint.stopAll(`${incarnation} `);
		node.host.kill();
		this.#clock.after(downMs, () => {
			this.#startSidecar(node);
		});
	}

	#recordExit(incarnation: string): void {
		this.history.exitTimes.set(incarnation, this.#clock.now);
		for (const leave of this.history.leaves) {
			if (leave.incarnation === incarnation && leave.drainedAt === undefined) {
				leave.isKilled = true;
			}
		}
	}

	#apply(step: Step): void {
		if (step.type !== 'request') {
			this.history.lines.push(
				`${this.#clock.now.toFixed(1)} step ${JSON.stringify(step)}`,
			);
		}

		switch (step.type) {
			case 'request': {
				this.#sendCopies(step);
				break;
			}

			case 'cut': {
				this.#network.cut(
					this.#entryAt(step.entry).name,
					this.#endpointNodeAt(step.endpoint).host.name,
				);
				break;
			}

			case 'silence': {
				this.#network.silence(
					this.#entryAt(step.entry).name,
					this.#endpointNodeAt(step.endpoint).host.name,
					step.direction,
				);
				break;
			}

			case 'partition': {
				this.#network.partition(
					this.#entryAt(step.entry).name,
					this.#endpointNodeAt(step.endpoint).host.name,
					this.#clock.now + step.forMs,
				);
				break;
			}

			case 'pause': {
				this.#pause(this.#hostAt(step.process), step.forMs);
				break;
			}

			case 'kill': {
				this.#kill(step);
				break;
			}

			case 'leave': {
				this.#leave(step.process);
				break;
			}

			case 'crash': {
				const {endpoint} = this.#endpointNodeAt(step.endpoint);
				endpoint.crash();
				this.#clock.after(step.downMs, () => {
					endpoint.restart();
				});
				break;
			}

			case 'slow': {
				const {endpoint} = this.#endpointNodeAt(step.endpoint);
				endpoint.setSlowness(step.factor);
				this.#clock.after(step.forMs, () => {
					endpoint.setSlowness(1);
				});
				break;
			}

			case 'table': {
				this.#table.setMode(step.mode);
				this.#clock.after(step.forMs, () => {
					this.#table.setMode(undefined);
				});
				break;
			}
		}
	}

	#sendCopies(step: RequestStep): void {
		for (let n = 0; n < step.copies; n++) {
			this.#send(
				n === 0 ? step : {...step, key: undefined},
				this.#entryAt(step.entry),
				false,
			);
		}
	}

	#send(step: RequestStep, entry: EntryHost, isProbe: boolean): void {
		const endpoints = this.#endpointsOf(step.target);
		this.#callers.send(
			`r${this.#requestCount++}`,
			step,
			entry,
			endpoints,
			isProbe,
		);
	}

	#endpointsOf(target: string): EndpointView[] {
		const kind = target === 'model' ? 'engine' : 'service';
		return this.#endpointNodes
			.filter((node) => node.kind === kind)
			.map((node) => this.#viewOf(node));
	}

	/** Simulated caller that receives the effects of a request or a resumed stream. */
	#receiverOf(requestId: string): Callers | ReturningCallers {
		return this.history.resumedStreams.has(requestId)
			? this.#returningCallers
			: this.#callers;
	}

	#viewOf(node: EndpointNode): EndpointView {
		return {
			name: node.host.name,
			type: node.kind,
			dataCentre: 'bole',
			region: 'addis',
			address: `127.0.0.1:${this.#endpointNodes.indexOf(node) + 1}`,
			leaving: node.listedLeavingAt <= this.#clock.now,
		};
	}

	#pause(host: EntryHost | SidecarHost, forMs: number): void {
		if (host.incarnation === undefined || host.pausedSince !== undefined) {
			return;
		}

		host.pause();
		this.#network.onPause(host);
		const since = host.pausedSince;
		this.#clock.after(forMs, () => {
			if (since !== undefined && host.pausedSince === since) {
				host.resume(() => {
					this.#network.onResume(host, forMs);
				});
			}
		});
	}

	#kill(step: Extract<Step, {type: 'kill'}>): void {
		const how = step.reset ? 'reset' : 'silent';
		const {role, index} = step.process;
		switch (role) {
			case 'entry': {
				const host = this.#entryAt(index);
				this.#endEntry(host, host.incarnation ?? '', how, step.downMs);
				break;
			}

			case 'sidecar': {
				const node = this.#endpointNodeAt(index);
				const incarnation = node.host.incarnation ?? '';
				this.#endSidecar(node, incarnation, how, step.downMs);
				break;
			}
		}
	}

	#leave(process: Extract<Step, {type: 'leave'}>['process']): void {
		const host = this.#hostAt(process);
		const {incarnation} = host;
		if (
			incarnation === undefined ||
			this.history.leaves.some((leave) => leave.incarnation === incarnation)
		) {
			return;
		}

		this.history.leaves.push({
			process: host.name,
			incarnation,
			at: this.#clock.now,
			drainedAt: undefined,
			cut: [],
			isKilled: false,
		});
		if (process.role === 'sidecar') {
			this.#endpointNodeAt(process.index).listedLeavingAt =
				this.#clock.now + instanceListLagMs;
		}

		host.deliver(incarnation, {type: 'leave'});
	}

	/** Sends one request for each target to each entry, to check that all have recovered. */
	#sendProbes(): void {
		for (const entry of this.#entries) {
			for (const target of ['model', 'service'] as const) {
				if (target === 'service' && this.#plan.services === 0) {
					continue;
				}

				this.#send(
					{
						type: 'request',
						at: 0,
						entry: 0,
						workspace: 0,
						requestClass: 'tight',
						target,
						length: 5,
						timeoutMs: 10_000,
						resumable: false,
						copies: 1,
						takeMs: 0,
					},
					entry,
					true,
				);
			}
		}
	}

	#entryAt(index: number): EntryHost {
		return this.#entries[index % this.#entries.length]!;
	}

	#endpointNodeAt(index: number): EndpointNode {
		return this.#endpointNodes[index % this.#endpointNodes.length]!;
	}

	#hostAt({
		role,
		index,
	}: Extract<Step, {type: 'pause'}>['process']): EntryHost | SidecarHost {
		switch (role) {
			case 'entry': {
				return this.#entryAt(index);
			}

			case 'sidecar': {
				return this.#endpointNodeAt(index).host;
			}
		}
	}
}

/** Time at which a step has no further effect. */
function endOfStep(step: Step): number {
	switch (step.type) {
		case 'request': {
			return step.at + step.timeoutMs + (step.returnAfterMs ?? 0);
		}

		case 'cut':
		case 'silence':
		case 'leave': {
			return step.at;
		}

		case 'partition':
		case 'pause':
		case 'slow':
		case 'table': {
			return step.at + step.forMs;
		}

		case 'kill':
		case 'crash': {
			return step.at + step.downMs;
		}
	}
}
