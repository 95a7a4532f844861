import {
	decodeRecord,
	type ConfigRecord,
	type Contract,
	type EndpointRecord,
	type ListedInstance,
	type RequestClass,
	type Rule,
	type Workspace,
} from '../../interfaces/index.js';

/** The record of an endpoint joined with its instance of the instance list. */
export type EndpointView = {
	readonly name: string;
	readonly type: 'engine' | 'service';
	readonly dataCentre: string;
	readonly region: string;
	/** Address of its sidecar, as "IP:port". */
	readonly address: string;
	readonly leaving: boolean;
};

/** The endpoints that may serve one model or plain service. */
export type Target = {
	readonly name: string;
	readonly kind: 'model' | 'service';
	readonly endpoints: readonly EndpointView[];
	readonly nonIdempotent: Rule['nonIdempotent'];
};

/**
 * The configuration records in force, indexed for the request path.
 *
 * The cost of a change grows with the number of rules, not of workspaces and
 * endpoints: a target that it affects is rebuilt when it is next needed.
 */
export class Catalogue {
	readonly #records = new Map<string, ConfigRecord>();
	readonly #workspaces = new Map<string, Workspace>();
	readonly #endpoints = new Map<string, EndpointRecord>();
	readonly #instances = new Map<string, ListedInstance>();
	/** Rules by target name, then by rule name. */
	readonly #rules = new Map<string, Map<string, Rule>>();
	/** Cache of targets; a change of their rules or endpoints removes them. */
	readonly #builtTargets = new Map<string, Target>();

	/** Replaces a record, or removes it when `value` is null or cannot be parsed: an operator with a later version may write kinds that this version does not know. */
	set(key: string, value: unknown): void {
		const previous = this.#records.get(key);
		if (previous) {
			this.#records.delete(key);
			this.#unindex(previous);
		}

		const record = parseConfigRecord(value);
		if (record) {
			this.#records.set(key, record);
			this.#index(record);
		}
	}

	/** Replaces all records. */
	replaceAll(records: ReadonlyMap<string, unknown>): void {
		for (const key of this.#records.keys()) {
			if (!records.has(key)) {
				this.set(key, null);
			}
		}

		for (const [key, record] of records) {
			this.set(key, record);
		}
	}

	/** Replaces the instance list. */
	setInstances(instances: readonly ListedInstance[]): void {
		const listedIds = new Set(instances.map(({id}) => id));
		for (const id of this.#instances.keys()) {
			if (!listedIds.has(id)) {
				this.#instances.delete(id);
				this.#invalidateTargetsOf(id);
			}
		}

		for (const instance of instances) {
			this.setInstance(instance);
		}
	}

	removeInstance(id: string): void {
		if (this.#instances.delete(id)) {
			this.#invalidateTargetsOf(id);
		}
	}

	/** Adds an instance, or applies its new address and state. */
	setInstance(instance: ListedInstance): void {
		const previous = this.#instances.get(instance.id);
		if (
			previous?.address !== instance.address ||
			previous.state !== instance.state
		) {
			this.#instances.set(instance.id, instance);
			this.#invalidateTargetsOf(instance.id);
		}
	}

	/** The workspace to which an API key belongs; `keyHash` is its SHA-256 in hexadecimal. */
	workspace(keyHash: string): Workspace | undefined {
		return this.#workspaces.get(keyHash);
	}

	requestClass(name: string): RequestClass | undefined {
		const record = this.#records.get(`record/class/${name}`);
		return record?.kind === 'class' ? record : undefined;
	}

	/** The model or plain service of this name; undefined without a rule for it. */
	target(name: string): Target | undefined {
		const cached = this.#builtTargets.get(name);
		if (cached) {
			return cached;
		}

		const target = this.#buildTarget(name);
		if (target) {
			this.#builtTargets.set(name, target);
		}

		return target;
	}

	/** Names of the models that have at least one rule. */
	models(): string[] {
		return [...this.#rules]
			.filter(([, rules]) =>
				[...rules.values()].some((rule) => rule.targetKind === 'model'),
			)
			.map(([name]) => name);
	}

	/** Names of the models and plain services that the rules allow an endpoint to serve. */
	targetsOf(endpoint: string): string[] {
		return [...this.#rules.keys()].filter((name) =>
			this.#isAllowed(name, endpoint),
		);
	}

	/** The contract for a workspace's requests of a class: the targets and share of the class, and the weight of the workspace. */
	contract(workspace: Workspace, requestClass: RequestClass): Contract {
		return {
			workspace: workspace.name,
			requestClass: requestClass.name,
			tier: requestClass.tier,
			firstTokenMs: requestClass.firstTokenMs,
			gapMs: requestClass.gapMs,
			share: requestClass.share,
			weight: workspace.weight,
			patience: requestClass.patience,
		};
	}

	#index(record: ConfigRecord): void {
		switch (record.kind) {
			case 'workspace': {
				for (const hash of record.keyHashes) {
					this.#workspaces.set(hash, record);
				}

				break;
			}

			case 'endpoint': {
				this.#endpoints.set(record.name, record);
				this.#invalidateTargetsOf(record.name);
				break;
			}

			case 'rule': {
				const rules = this.#rules.get(record.target) ?? new Map<string, Rule>();
				rules.set(record.name, record);
				this.#rules.set(record.target, rules);
				this.#builtTargets.delete(record.target);
				break;
			}

			case 'class':
			case 'schedule':
			case 'placement':
			case 'key':
			case 'term': {
				break;
			}
		}
	}

	#unindex(record: ConfigRecord): void {
		switch (record.kind) {
			case 'workspace': {
				for (const hash of record.keyHashes) {
					this.#workspaces.delete(hash);
				}

				break;
			}

			case 'endpoint': {
				this.#endpoints.delete(record.name);
				this.#invalidateTargetsOf(record.name);
				break;
			}

			case 'rule': {
				const rules = this.#rules.get(record.target);
				rules?.delete(record.name);
				if (rules?.size === 0) {
					this.#rules.delete(record.target);
				}

				this.#builtTargets.delete(record.target);
				break;
			}

			case 'class':
			case 'schedule':
			case 'placement':
			case 'key':
			case 'term': {
				break;
			}
		}
	}

	/** Removes the targets that an endpoint may serve from the cache. */
	#invalidateTargetsOf(endpoint: string): void {
		for (const name of this.#builtTargets.keys()) {
			if (this.#isAllowed(name, endpoint)) {
				this.#builtTargets.delete(name);
			}
		}
	}

	#isAllowed(target: string, endpoint: string): boolean {
		for (const rule of this.#rules.get(target)?.values() ?? []) {
			if (rule.endpoints.some((glob) => matchesGlob(glob, endpoint))) {
				return true;
			}
		}

		return false;
	}

	#buildTarget(name: string): Target | undefined {
		const rules = [...(this.#rules.get(name)?.values() ?? [])];
		const [firstRule] = rules;
		if (!firstRule) {
			return undefined;
		}

		const endpoints: EndpointView[] = [];
		for (const record of this.#endpoints.values()) {
			const instance = this.#instances.get(record.name);
			if (instance && this.#isAllowed(name, record.name)) {
				endpoints.push(toEndpointView(record, instance));
			}
		}

		return {
			name,
			kind: firstRule.targetKind,
			endpoints,
			nonIdempotent: rules.flatMap((rule) => rule.nonIdempotent),
		};
	}
}

function toEndpointView(
	record: EndpointRecord,
	instance: ListedInstance,
): EndpointView {
	return {
		name: record.name,
		type: record.type,
		dataCentre: record.dataCentre,
		region: record.region,
		address: instance.address,
		leaving: instance.state === 'leaving',
	};
}

function parseConfigRecord(value: unknown): ConfigRecord | undefined {
	const result = decodeRecord(value);
	return result.type === 'record' ? result.record : undefined;
}

function matchesGlob(glob: string, name: string): boolean {
	return glob.endsWith('*')
		? name.startsWith(glob.slice(0, -1))
		: glob === name;
}
