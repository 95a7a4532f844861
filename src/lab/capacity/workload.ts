import {prefixHashes, Random} from '../../base/index.js';
import type {
	Contract,
	EntryToSidecar,
	ListedInstance,
	Profile,
	SidecarToEntry,
} from '../../interfaces/index.js';
import {
	Catalogue,
	Entry,
	Scheduler,
	Sidecar,
	type CallerRequest,
	type EndpointView,
	type EntryEffect,
} from '../../services/index.js';
import {fleetSize} from './fleet-size.js';

/** Length of the prompts in all capacity figures, in tokens. */
export const promptTokens = 2048;

export const contract: Contract = {
	workspace: 'workspace-0001',
	requestClass: 'interactive',
	tier: 0,
	firstTokenMs: 660,
	gapMs: 32,
	share: 0.2,
	weight: 1,
	patience: 1,
};

export const profile: Profile = {
	contract,
	target: 'model-01',
	kind: 'model',
	promptTokens,
	maxTokens: 1024,
	prefix: prefixHashes('x'.repeat(promptTokens * 4), 256),
};

export function endpointViews(count: number): EndpointView[] {
	return Array.from({length: count}, (_, n) => ({
		name: `endpoint-${String(n).padStart(5, '0')}`,
		type: 'engine',
		dataCentre: `dc-${n % fleetSize.dataCentres}`,
		region: `region-${n % fleetSize.regions}`,
		address: `127.0.${Math.floor(n / 250)}.${(n % 250) + 1}:8081`,
		leaving: false,
	}));
}

/** Configuration rows, as the table holds them, for a fleet of the given size. */
export function recordRows(
	workspaces: number,
	endpoints: number,
): Array<{key: string; value: unknown}> {
	const rows: Array<{key: string; value: unknown}> = [
		'interactive',
		'standard',
		'batch',
	].map((name, tier) => ({
		key: `record/class/${name}`,
		value: {
			schema: 1,
			kind: 'class',
			name,
			tier,
			firstTokenMs: 660,
			gapMs: 32,
			share: 0.2,
		},
	}));
	for (let n = 0; n < workspaces; n++) {
		rows.push(workspaceRow(n, 1));
	}

	for (let n = 0; n < endpoints; n++) {
		const name = `endpoint-${n % fleetSize.models}-${n}`;
		rows.push({
			key: `record/endpoint/${name}`,
			value: {
				schema: 1,
				kind: 'endpoint',
				name,
				type: 'engine',
				dataCentre: `dc-${n % fleetSize.dataCentres}`,
				region: `region-${n % fleetSize.regions}`,
			},
		});
	}

	for (let n = 0; n < fleetSize.models; n++) {
		rows.push({
			key: `record/rule/model-${n}`,
			value: {
				schema: 1,
				kind: 'rule',
				name: `model-${n}`,
				target: `model-${n}`,
				targetKind: 'model',
				endpoints: [`endpoint-${n}-*`],
			},
		});
	}

	return rows;
}

/** Configuration row of one workspace; a different `weight` makes it a changed row. */
export function workspaceRow(
	number: number,
	weight: number,
): {key: string; value: unknown} {
	const name = `workspace-${String(number).padStart(4, '0')}`;
	return {
		key: `record/workspace/${name}`,
		value: {
			schema: 1,
			kind: 'workspace',
			name,
			keyHashes: [number.toString(16).padStart(64, '0')],
			weight,
			classes: ['interactive', 'standard', 'batch'],
		},
	};
}

export function listInstances(
	rows: ReadonlyArray<{key: string}>,
): ListedInstance[] {
	return rows
		.filter(({key}) => key.startsWith('record/endpoint/'))
		.map(({key}, n) => ({
			id: key.slice('record/endpoint/'.length),
			address: `127.0.${Math.floor(n / 250)}.${(n % 250) + 1}:8081`,
			state: 'live',
		}));
}

export function buildCatalogue(
	workspaces: number,
	endpoints: number,
): Catalogue {
	const rows = recordRows(workspaces, endpoints);
	const catalogue = new Catalogue();
	catalogue.replaceAll(new Map(rows.map(({key, value}) => [key, value])));
	catalogue.setInstances(listInstances(rows));
	return catalogue;
}

export function newEntry(): Entry {
	return new Entry({
		locality: {dataCentre: 'dc-0', region: 'region-0'},
		random: new Random(1),
		textOf: (chunks) => chunks.join(''),
	});
}

export function callerRequest(
	number: number,
	endpoints: readonly EndpointView[],
): CallerRequest {
	return {
		id: `req-${String(number).padStart(36, '0')}`,
		profile,
		call: {
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {},
			body: JSON.stringify({
				model: 'model-01',
				stream: true,
				messages: [{role: 'user', content: 'x'.repeat(promptTokens * 4)}],
			}),
		},
		idempotent: true,
		resumable: false,
		timeoutMs: 60_000,
		endpoints,
	};
}

/** Data of the event that an engine sends for one streamed token. */
export const chunkData = JSON.stringify({
	id: `cmpl-req-${'0'.repeat(36)}`,
	object: 'chat.completion.chunk',
	created: 1_700_000_000,
	model: 'model-01',
	choices: [{index: 0, delta: {content: ' token'}, finish_reason: null}],
});

/** Passes one request to an entry and accepts every offer that it makes, so that an attempt starts. Returns all effects. */
export function startRequest(
	entry: Entry,
	request: CallerRequest,
	now: number,
): EntryEffect[] {
	const effects = entry.handle({type: 'request', request}, now);
	const replies = effects.flatMap((effect) =>
		effect.type === 'send' && effect.message.type === 'offer'
			? entry.handle(
					{
						type: 'peer',
						endpoint: effect.endpoint,
						message: offerReply(effect.message.id),
					},
					now,
				)
			: [],
	);
	return [...effects, ...replies];
}

/** Finds the start message among the effects of a request and returns its attempt and endpoint. */
export function startedAttempt(
	effects: readonly EntryEffect[],
): {attempt: string; endpoint: string} | undefined {
	for (const effect of effects) {
		if (effect.type === 'send' && effect.message.type === 'start') {
			return {attempt: effect.message.attempt, endpoint: effect.endpoint};
		}
	}

	return undefined;
}

export function offerReply(id: string): SidecarToEntry {
	return {
		type: 'offerReply',
		id,
		reply: {type: 'accept', firstTokenMs: 120, cachedTokens: 512},
	};
}

export function chunkUpdate(attempt: string, sequence: number): SidecarToEntry {
	return {
		type: 'update',
		update: {type: 'chunk', attempt, sequence, data: chunkData, tokens: 1},
	};
}

export function endedUpdate(attempt: string, sequence: number): SidecarToEntry {
	return {
		type: 'update',
		update: {
			type: 'ended',
			attempt,
			outcome: 'completed',
			sequence,
			reason: '',
		},
	};
}

export function newSidecar(): Sidecar {
	const sidecar = new Sidecar({
		incarnation: 'incarnation-1',
		scheduler: new Scheduler(new Random(1)),
	});
	sidecar.handle({type: 'targets', targets: [profile.target]}, 0);
	return sidecar;
}

export function startMessage(number: number): EntryToSidecar {
	const request = callerRequest(number, []);
	return {
		type: 'start',
		attempt: `${request.id}.1`,
		requestId: request.id,
		incarnation: 'incarnation-1',
		profile,
		call: request.call,
		idempotent: true,
		resumable: false,
		remainingMs: 60_000,
	};
}
