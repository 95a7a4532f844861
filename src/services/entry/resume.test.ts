import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from '../../base/index.js';
import type {EntryToSidecar} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import {Scheduler, Sidecar, type SidecarMessage} from '../sidecar/index.js';
import {Entry} from './entry.js';
import {formatEventId, parseEventId} from './event-id.js';
import type {CallerRequest, EntryEffect, EntryMessage} from './message.js';

const endpoint: EndpointView = {
	name: 'a',
	type: 'engine',
	dataCentre: 'bole',
	region: 'addis',
	address: 'a',
	leaving: false,
};

const request: CallerRequest = {
	id: 'r',
	profile: {
		contract: {
			workspace: 'w',
			requestClass: 'letter',
			tier: 1,
			firstTokenMs: 5000,
			gapMs: 100,
			share: 0,
			weight: 1,
			patience: 4,
		},
		target: 'm',
		kind: 'model',
		promptTokens: 10,
		prefix: [],
	},
	call: {method: 'POST', path: '/', headers: {}, body: ''},
	idempotent: true,
	resumable: true,
	timeoutMs: 20_000,
	endpoints: [endpoint],
};

/** Two entries and one sidecar; messages between them are delivered immediately. */
class Bench {
	readonly entries = ['one', 'two'].map(
		(_, seed) =>
			new Entry({
				locality: {dataCentre: 'bole', region: 'addis'},
				random: new Random(seed),
				textOf: (chunks) => chunks.join(''),
			}),
	);

	readonly sidecar = new Sidecar({
		incarnation: 'a1',
		scheduler: new Scheduler(new Random(1)),
	});

	readonly effectsByEntry: EntryEffect[][] = [[], []];
	readonly stopped: string[] = [];
	now = 0;
	#sequence = 0;

	constructor() {
		this.toSidecar({type: 'targets', targets: ['m']});
		for (const index of [0, 1]) {
			this.toEntry(index, {
				type: 'linkUp',
				endpoint: 'a',
				incarnation: 'a1',
			});
		}
	}

	toEntry(index: number, message: EntryMessage): void {
		for (const effect of this.entries[index]!.handle(message, this.now)) {
			if (effect.type === 'send') {
				this.peer(index, effect.message);
			} else {
				this.effectsByEntry[index]!.push(effect);
			}
		}
	}

	peer(index: number, message: EntryToSidecar): void {
		this.toSidecar({type: 'peer', link: String(index), message});
	}

	toSidecar(message: SidecarMessage): void {
		for (const effect of this.sidecar.handle(message, this.now)) {
			if (effect.type === 'send') {
				this.toEntry(Number(effect.link), {
					type: 'peer',
					endpoint: 'a',
					message: effect.message,
				});
			} else if (effect.type === 'stopRun') {
				this.stopped.push(effect.attempt);
			}
		}
	}

	generate(count: number): void {
		for (let n = 0; n < count; n++) {
			this.#sequence++;
			const data = `t${this.#sequence} `;
			this.toSidecar({
				type: 'endpoint',
				attempt: 'r.1',
				event: {type: 'chunk', data, tokens: 1},
			});
		}
	}

	finish(): void {
		const event = {type: 'end'} as const;
		this.toSidecar({type: 'endpoint', attempt: 'r.1', event});
	}

	text(index: number): string {
		return this.effectsByEntry[index]!.map((effect) =>
			effect.type === 'chunk' ? effect.data : '',
		).join('');
	}

	end(index: number): Extract<EntryEffect, {type: 'end'}> | undefined {
		return this.effectsByEntry[index]!.find((effect) => effect.type === 'end');
	}

	status(index: number): Extract<EntryEffect, {type: 'status'}> | undefined {
		return this.effectsByEntry[index]!.findLast(
			(effect) => effect.type === 'status',
		);
	}

	watch(index: number, workspace: string, after: number): void {
		this.toEntry(index, {
			type: 'events',
			id: `watch-${workspace}`,
			workspace,
			endpoint,
			attempt: 'r.1',
			after,
		});
	}

	query(index: number, workspace: string, cancel = false): void {
		this.toEntry(index, {
			type: 'query',
			id: 'q',
			workspace,
			requestId: 'r',
			cancel,
			endpoints: [endpoint],
		});
	}
}

// Guards against an answer that is lost with its caller's connection, or that is readable by another workspace.
test('a resumable answer can be resumed at any entry', () => {
	const bench = new Bench();
	bench.toEntry(0, {type: 'request', request});
	bench.generate(2);
	bench.toEntry(0, {type: 'callerGone', requestId: 'r'});
	bench.generate(2);
	bench.watch(1, 'other', 1);
	expect(bench.end(1)?.failure?.code).toEqual('answer_not_kept');
	bench.effectsByEntry[1]!.length = 0;
	bench.watch(1, 'w', 1);
	// A late detach from the first entry must not stop delivery to the second one.
	bench.peer(0, {type: 'detach', attempt: 'r.1'});
	bench.generate(2);
	bench.finish();
	expect(bench.text(1)).toEqual('t2 t3 t4 t5 t6 ');
	expect(bench.end(1)?.outcome).toEqual('completed');
	expect(bench.stopped).toEqual([]);
});

// Guards against a resumable answer that runs for ever although its caller does not reconnect.
test('a resumable answer is stopped 10 s after its caller has disconnected', () => {
	const bench = new Bench();
	bench.toEntry(0, {type: 'request', request});
	bench.generate(1);
	bench.toEntry(0, {type: 'callerGone', requestId: 'r'});
	bench.now = bench.sidecar.nextWake()!;
	expect(bench.now).toEqual(10_000);
	bench.toSidecar({type: 'tick'});
	expect(bench.stopped).toEqual(['r.1']);
});

// Guards against a status query or a cancel that works at one entry only, or for another workspace.
test('any entry returns the status of a request and cancels it, for its workspace only', () => {
	const bench = new Bench();
	bench.toEntry(0, {type: 'request', request});
	bench.generate(1);
	for (const index of [0, 1]) {
		bench.query(index, 'w');
		expect(bench.status(index)?.status).toEqual({
			state: 'running',
			outcome: undefined,
			eventId: 'a/r.1/1',
		});
		bench.query(index, 'other', true);
		expect(bench.status(index)?.status.state).toEqual('unknown');
	}

	expect(bench.stopped).toEqual([]);
	bench.query(1, 'w', true);
	expect(bench.stopped).toEqual(['r.1']);
	expect(bench.end(0)?.failure?.code).toEqual('cancelled');
	bench.query(0, 'w');
	expect(bench.status(0)?.status.outcome).toEqual('failed');
});

// Guards against event ids that do not survive formatting and parsing.
test('event ids are parsed as they are formatted', () => {
	const id = {endpoint: 'engine-1', attempt: 'req-1.2', sequence: 17};
	expect(parseEventId(formatEventId(id))).toEqual(id);
	expect(parseEventId('engine-1/req-1.2')).toEqual(undefined);
});
