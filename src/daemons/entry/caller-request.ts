import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {z} from 'zod';
import {prefixHashes} from '../../base/index.js';
import {prefixBlockTokens, type Workspace} from '../../interfaces/index.js';
import type {CallerRequest, Catalogue, Target} from '../../services/index.js';
import {ApiError} from './api-error.js';

/** Average length of a token, in characters, for estimates of the prompt length. */
const charactersPerToken = 4;

const modelCallSchema = z.looseObject({
	model: z.string().min(1),
	stream: z.boolean().nullish(),
	max_tokens: z.int().positive().nullish(),
	max_completion_tokens: z.int().positive().nullish(),
	messages: z.array(z.unknown()).optional(),
	prompt: z.unknown().optional(),
});

/** A validated request and the format in which its caller expects the answer. */
export type ParsedRequest = {
	readonly request: CallerRequest;
	readonly answer: 'stream' | 'json' | 'raw';
};

/** Returns the workspace of the request's API key; throws `ApiError` 401 when the key is missing or unknown. */
export function authenticate(
	message: IncomingMessage,
	catalogue: Catalogue,
): Workspace {
	const match = /^Bearer (?<key>\S+)$/v.exec(
		message.headers.authorization ?? '',
	);
	const key = match?.groups?.key;
	const workspace =
		key && catalogue.workspace(createHash('sha256').update(key).digest('hex'));
	if (!workspace) {
		throw new ApiError(
			401,
			'invalid_api_key',
			'the Authorization header must carry a valid API key as "Bearer KEY"',
		);
	}

	return workspace;
}

/** Validates a completion request; throws `ApiError` when it is invalid. */
export function parseModelRequest(
	message: IncomingMessage,
	body: Buffer,
	catalogue: Catalogue,
	id: string,
): ParsedRequest {
	const workspace = authenticate(message, catalogue);
	const text = body.toString('utf8');
	const parsed = modelCallSchema.safeParse(parseJson(text));
	if (!parsed.success) {
		const [issue] = parsed.error.issues;
		throw new ApiError(
			400,
			'invalid_body',
			`body.${issue?.path.join('.')}: ${issue?.message}`,
		);
	}

	const {data} = parsed;
	const target = catalogue.target(data.model);
	if (target?.kind !== 'model') {
		throw new ApiError(
			404,
			'model_not_found',
			`the model ${JSON.stringify(data.model)} does not exist`,
		);
	}

	const prompt = JSON.stringify(data.messages ?? data.prompt ?? '');
	return {
		answer: data.stream ? 'stream' : 'json',
		request: {
			...commonFields(message, workspace, catalogue, target, id),
			profile: {
				contract: contractOf(message, workspace, catalogue),
				target: target.name,
				kind: 'model',
				promptTokens: Math.ceil(prompt.length / charactersPerToken),
				maxTokens: data.max_completion_tokens ?? data.max_tokens ?? undefined,
				prefix: prefixHashes(prompt, prefixBlockTokens * charactersPerToken),
			},
			call: {
				method: 'POST',
				path: message.url ?? '/',
				headers: {},
				body: text,
			},
			idempotent: header(message, 'x-cicadaswitch-idempotent') !== 'false',
		},
	};
}

/** Validates a call of a plain service, `/services/NAME/PATH`; throws `ApiError` when it is invalid. */
export function parseServiceRequest(
	message: IncomingMessage,
	body: Buffer,
	catalogue: Catalogue,
	id: string,
): ParsedRequest {
	const workspace = authenticate(message, catalogue);
	const match = /^\/services\/(?<name>[^\/?]+)(?<path>.*)$/v.exec(
		message.url ?? '',
	);
	const {name = '', path = ''} = match?.groups ?? {};
	const target = catalogue.target(name);
	if (target?.kind !== 'service') {
		throw new ApiError(
			404,
			'service_not_found',
			`the service ${JSON.stringify(name)} does not exist`,
		);
	}

	const method = message.method ?? 'GET';
	const servicePath = path.startsWith('/') ? path : `/${path}`;
	const isNonIdempotent = target.nonIdempotent.some(
		(rule) => rule.method === method && servicePath.startsWith(rule.pathPrefix),
	);
	return {
		answer: 'raw',
		request: {
			...commonFields(message, workspace, catalogue, target, id),
			profile: {
				contract: contractOf(message, workspace, catalogue),
				target: target.name,
				kind: 'service',
				promptTokens: 0,
				prefix: [],
			},
			call: {
				method,
				path: servicePath,
				headers: forwardedHeaders(message),
				body: body.toString('base64'),
				binary: true,
			},
			idempotent:
				!isNonIdempotent &&
				header(message, 'x-cicadaswitch-idempotent') !== 'false',
		},
	};
}

/** Throws `ApiError` 400 when a non-idempotent request has no idempotency key, under which its run would be recorded. */
export function requireIdempotencyKey(request: CallerRequest): void {
	if (!request.idempotent && request.idempotencyKey === undefined) {
		throw new ApiError(
			400,
			'idempotency_key_required',
			'a request that may not be repeated needs an Idempotency-Key header',
		);
	}
}

function commonFields(
	message: IncomingMessage,
	workspace: Workspace,
	catalogue: Catalogue,
	target: Target,
	id: string,
) {
	return {
		id,
		idempotencyKey: header(message, 'idempotency-key'),
		resumable: header(message, 'x-cicadaswitch-resumable') === 'true',
		timeoutMs: classOf(message, workspace, catalogue).timeoutMs,
		endpoints: target.endpoints,
	};
}

function contractOf(
	message: IncomingMessage,
	workspace: Workspace,
	catalogue: Catalogue,
) {
	return catalogue.contract(workspace, classOf(message, workspace, catalogue));
}

function classOf(
	message: IncomingMessage,
	workspace: Workspace,
	catalogue: Catalogue,
) {
	const name = header(message, 'x-cicadaswitch-class') ?? workspace.classes[0]!;
	const requestClass = workspace.classes.includes(name)
		? catalogue.requestClass(name)
		: undefined;
	if (!requestClass) {
		throw new ApiError(
			403,
			'class_not_allowed',
			`the workspace ${workspace.name} may not use the class ${JSON.stringify(name)}; allowed: ${workspace.classes.join(', ')}`,
		);
	}

	return requestClass;
}

function forwardedHeaders(message: IncomingMessage): Record<string, string> {
	return Object.fromEntries(
		Object.entries(message.headers)
			.filter(([name]) => name !== 'authorization')
			.map(([name, value]) => [name, String(value)]),
	);
}

function header(message: IncomingMessage, name: string): string | undefined {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		throw new ApiError(400, 'invalid_body', 'the body is not valid JSON');
	}
}
