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
import {createEntry, createSidecar, type Sabotage} from './machines.js';
import {Network, type EntryHost, type SidecarHost} from './network.js';
import type {Plan, RequestStep, Step} from './plan.js';
import {residueOf} from './residue.js';
import {Returns} from './returns.js';
import {Streams} from './streams.js';

/** Time after the last fault until probes are sent, in milliseconds; longer than any timeout of a plan and any retention. */
const settleMs = 30_000;

/** Time for which the world runs on after the probes, in milliseconds. */
const drainMs = 90_000;

/** Lag of the instance list that entries see, and of the platform that replaces a process, in milliseconds. */
const listLagMs = 3000;
const replaceMs = 500;
const loadReportMs = 500;

type Station = {
	readonly host: SidecarHost;
	readonly endpoint: FakeEndpoint;
	readonly kind: 'engine' | 'service';
	/** Time since which the instance list shows it as leaving. */
	listedLeavingAt: number;
};

/** Entries, sidecars, endpoints, callers, network and table of one run in virtual time. */
export class World {
	readonly history: History;
	readonly #plan: Plan;
	readonly #sabotage: Sabotage;
	readonly #clock = new VirtualClock();
	readonly #streams: Streams;
	readonly #network: Network;
	readonly #table: FakeTable;
	readonly #callers: Callers;
	readonly #returns: Returns;
	readonly #entries: EntryHost[] = [];
	readonly #stations: Station[] = [];
	/** Time at which all faults and all timeouts are over. */
	readonly #quietAt: number;
	#requests = 0;

	constructor(plan: Plan, sabotage: Sabotage = {}) {
		this.history = new History(plan.shares);
		this.#plan = plan;
		this.#sabotage = sabotage;
		this.#streams = new Streams(plan.seed);
		this.#quietAt = Math.max(0, ...plan.steps.map((step) => endOf(step)));
		this.#network = new Network(
			this.#clock,
			this.#streams,
			plan.lossy ? this.#quietAt : 0,
		);
		this.#table = new FakeTable(this.#clock, this.#streams.get('table'));
		this.#callers = new Callers(
			this.#clock,
			this.history,
			plan,
			(sent, step) => {
				this.#returns.come(sent, step, this.#entryAt(step.returnEntry ?? 0));
			},
		);
		this.#returns = new Returns(this.#clock, this.history, (target) =>
			this.#endpointsOf(target),
		);
		for (let n = 0; n < plan.entries; n++) {
			this.#entries.push(this.#createEntry(`entry-${n}`));
		}

		for (let n = 0; n < plan.engines; n++) {
			this.#stations.push(this.#createStation(`engine-${n}`, 'engine'));
		}

		for (let n = 0; n < plan.services; n++) {
			this.#stations.push(this.#createStation(`service-${n}`, 'service'));
		}
	}

	/** Runs the plan, then probes every target, then waits until everything should have drained. */
	run(): History {
		for (const step of this.#plan.steps) {
			this.#clock.at(step.at, () => {
				this.#apply(step);
			});
		}

		this.#clock.at(this.#quietAt + settleMs, () => {
			this.#probe();
		});
		this.#clock.runUntil(this.#quietAt + settleMs + drainMs);
		for (const host of [
			...this.#entries,
			...this.#stations.map((station) => station.host),
		]) {
			this.history.residue.push(...residueOf(host.name, host.dump()));
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
				const random = this.#streams.get(incarnation);
				const machine = createEntry({random, clockOffsetMs, incarnation, name});
				return this.#sabotage.entry?.(machine) ?? machine;
			},
			onEffect: (effect) => {
				this.#onEntryEffect(host, effect);
			},
		});
		host.start();
		return host;
	}

	#createStation(name: string, kind: 'engine' | 'service'): Station {
		const clockOffsetMs = this.#clockOffset(name);
		const host: SidecarHost = new Host<SidecarMessage, SidecarEffect>({
			name,
			clock: this.#clock,
			history: this.history,
			tick: {type: 'tick'},
			clockOffsetMs,
			create: (incarnation) => {
				const random = this.#streams.get(incarnation);
				const machine = createSidecar({
					random,
					clockOffsetMs,
					incarnation,
					name,
				});
				return this.#sabotage.sidecar?.(machine) ?? machine;
			},
			onEffect: (effect) => {
				this.#onSidecarEffect(station, effect);
			},
		});
		const endpoint = new FakeEndpoint({
			name,
			kind,
			clock: this.#clock,
			history: this.history,
			random: this.#streams.get(`endpoint ${name}`),
			gapMs: this.#plan.engineGapMs,
		});
		const station: Station = {
			host,
			endpoint,
			kind,
			listedLeavingAt: Number.POSITIVE_INFINITY,
		};
		this.#startSidecar(station);
		return station;
	}

	#clockOffset(name: string): number {
		return this.#streams.get(`clock ${name}`).integer(1_000_000);
	}

	#startSidecar(station: Station): void {
		const {host} = station;
		host.start();
		const incarnation = host.incarnation!;
		station.listedLeavingAt = Number.POSITIVE_INFINITY;
		host.deliver(incarnation, {
			type: 'targets',
			targets: [station.kind === 'engine' ? 'model' : 'service'],
		});
		this.#reportLoad(station, incarnation);
	}

	/** Delivers load reports that are one interval old. */
	#reportLoad(station: Station, incarnation: string): void {
		const {running} = station.endpoint;
		this.#clock.after(loadReportMs, () => {
			if (station.host.incarnation !== incarnation) {
				return;
			}

			station.host.deliver(incarnation, {
				type: 'load',
				report: {
					running,
					waiting: 0,
					kvTokens: running * 200,
					kvCapacity: 100_000,
				},
			});
			this.#reportLoad(station, incarnation);
		});
	}

	#onEntryEffect(host: EntryHost, effect: EntryEffect): void {
		const incarnation = host.incarnation!;
		switch (effect.type) {
			case 'send': {
				const station = this.#stations.find(
					({host: sidecar}) => sidecar.name === effect.endpoint,
				)!;
				this.#network.sendUp(host, station.host, effect.message);
				break;
			}

			case 'head': {
				this.#tellerOf(effect.requestId).onHead(effect);
				break;
			}

			case 'chunk': {
				this.#tellerOf(effect.requestId).onChunk(effect, host, incarnation);
				break;
			}

			case 'end': {
				this.#tellerOf(effect.requestId).onEnd(effect);
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
					this.#endEntry(host, incarnation, 'graceful', replaceMs);
				});
				break;
			}

			case 'status': {
				this.#returns.onStatus(effect.id, effect.status);
				break;
			}

			case 'count':
			case 'timing':
			case 'log': {
				break;
			}
		}
	}

	#onSidecarEffect(station: Station, effect: SidecarEffect): void {
		const {host, endpoint} = station;
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
					this.#endSidecar(station, incarnation, 'graceful', replaceMs);
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

	#onDrained(incarnation: string, cut: () => string[]): void {
		const leave = this.history.leaves.find(
			(item) => item.incarnation === incarnation,
		);
		if (leave && leave.drainedAt === undefined && !leave.killed) {
			leave.drainedAt = this.#clock.now;
			leave.cut.push(...cut());
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

		this.#markKilled(incarnation);
		this.#network.onEnd(host, how);
		this.#callers.onEntryEnd(incarnation);
		this.#returns.onEntryEnd(incarnation);
		host.kill();
		this.#clock.after(downMs, () => {
			host.start();
		});
	}

	#endSidecar(
		station: Station,
		incarnation: string,
		how: 'graceful' | 'reset' | 'silent',
		downMs: number,
	): void {
		if (station.host.incarnation !== incarnation) {
			return;
		}

		this.#markKilled(incarnation);
		this.#network.onEnd(station.host, how);
		station.endpoint.stopAll(`${incarnation} `);
		station.host.kill();
		this.#clock.after(downMs, () => {
			this.#startSidecar(station);
		});
	}

	#markKilled(incarnation: string): void {
		this.history.endOf.set(incarnation, this.#clock.now);
		for (const leave of this.history.leaves) {
			if (leave.incarnation === incarnation && leave.drainedAt === undefined) {
				leave.killed = true;
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
					this.#stationAt(step.endpoint).host.name,
				);
				break;
			}

			case 'silence': {
				this.#network.silence(
					this.#entryAt(step.entry).name,
					this.#stationAt(step.endpoint).host.name,
					step.direction,
				);
				break;
			}

			case 'partition': {
				this.#network.partition(
					this.#entryAt(step.entry).name,
					this.#stationAt(step.endpoint).host.name,
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
				const {endpoint} = this.#stationAt(step.endpoint);
				endpoint.crash();
				this.#clock.after(step.downMs, () => {
					endpoint.restart();
				});
				break;
			}

			case 'slow': {
				const {endpoint} = this.#stationAt(step.endpoint);
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

	#send(step: RequestStep, entry: EntryHost, probe: boolean): void {
		const endpoints = this.#endpointsOf(step.target);
		this.#callers.send(`r${this.#requests++}`, step, entry, endpoints, probe);
	}

	#endpointsOf(target: string): EndpointView[] {
		const kind = target === 'model' ? 'engine' : 'service';
		return this.#stations
			.filter((station) => station.kind === kind)
			.map((station) => this.#viewOf(station));
	}

	/** Requests are told by the callers, watches by those that have come back. */
	#tellerOf(requestId: string): Callers | Returns {
		return this.history.returned.has(requestId) ? this.#returns : this.#callers;
	}

	#viewOf(station: Station): EndpointView {
		return {
			name: station.host.name,
			type: station.kind,
			dataCentre: 'bole',
			region: 'addis',
			address: `127.0.0.1:${this.#stations.indexOf(station) + 1}`,
			leaving: station.listedLeavingAt <= this.#clock.now,
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
				const station = this.#stationAt(index);
				const incarnation = station.host.incarnation ?? '';
				this.#endSidecar(station, incarnation, how, step.downMs);
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
			killed: false,
		});
		if (process.role === 'sidecar') {
			this.#stationAt(process.index).listedLeavingAt =
				this.#clock.now + listLagMs;
		}

		host.deliver(incarnation, {type: 'leave'});
	}

	/** Sends one request for every target to every entry. */
	#probe(): void {
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

	#stationAt(index: number): Station {
		return this.#stations[index % this.#stations.length]!;
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
				return this.#stationAt(index).host;
			}
		}
	}
}

/** Time at which a step has no further effect. */
function endOf(step: Step): number {
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
