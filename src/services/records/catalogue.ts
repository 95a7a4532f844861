import {
	readRecord,
	type ConfigRecord,
	type Contract,
	type EndpointRecord,
	type ListedInstance,
	type RequestClass,
	type Rule,
	type Workspace,
} from '../../interfaces/index.js';

/** An endpoint as an entry sees it: its record joined with the instance list. */
export type EndpointView = {
	readonly name: string;
	readonly type: 'engine' | 'service';
	readonly dataCentre: string;
	readonly region: string;
	/** Address of its sidecar, as "IP:port". */
	readonly address: string;
	readonly leaving: boolean;
};

/** Where the calls for one model or plain service may go. */
export type Target = {
	readonly name: string;
	readonly kind: 'model' | 'service';
	readonly endpoints: readonly EndpointView[];
	readonly nonIdempotent: Rule['nonIdempotent'];
};

/**
 * The records in force, indexed for the request path.
 *
 * A change costs time in proportion to the rules, not to the workspaces and
 * endpoints: targets that it touches are rebuilt when they are next asked for.
 */
export class Catalogue {
	readonly #records = new Map<string, ConfigRecord>();
	readonly #workspaces = new Map<string, Workspace>();
	readonly #endpoints = new Map<string, EndpointRecord>();
	readonly #instances = new Map<string, ListedInstance>();
	/** Rules by target name, then by rule name. */
	readonly #rules = new Map<string, Map<string, Rule>>();
	/** Targets that have been built since their rules and endpoints last changed. */
	readonly #targets = new Map<string, Target>();

	/** Replaces a record, or removes it when it is null. What is not a known record counts as removed, since a later operator may write kinds that this version lacks. */
	set(key: string, value: unknown): void {
		const earlier = this.#records.get(key);
		if (earlier) {
			this.#records.delete(key);
			this.#unindex(earlier);
		}

		const record = parseRecord(value);
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
		const kept = new Set(instances.map(({id}) => id));
		for (const id of this.#instances.keys()) {
			if (!kept.has(id)) {
				this.#instances.delete(id);
				this.#touchEndpoint(id);
			}
		}

		for (const instance of instances) {
			this.setInstance(instance);
		}
	}

	removeInstance(id: string): void {
		if (this.#instances.delete(id)) {
			this.#touchEndpoint(id);
		}
	}

	/** Adds an instance or takes over its new address and state. */
	setInstance(instance: ListedInstance): void {
		const earlier = this.#instances.get(instance.id);
		if (
			earlier?.address !== instance.address ||
			earlier.state !== instance.state
		) {
			this.#instances.set(instance.id, instance);
			this.#touchEndpoint(instance.id);
		}
	}

	/** The workspace to which an API key belongs; `keyHash` is its SHA-256 in hexadecimal. */
	workspace(keyHash: string): Workspace | undefined {
		return this.#workspaces.get(keyHash);
	}

	/** Request class by name. */
	requestClass(name: string): RequestClass | undefined {
		const record = this.#records.get(`record/class/${name}`);
		return record?.kind === 'class' ? record : undefined;
	}

	/** Model or plain service by name. */
	target(name: string): Target | undefined {
		const built = this.#targets.get(name);
		if (built) {
			return built;
		}

		const target = this.#buildTarget(name);
		if (target) {
			this.#targets.set(name, target);
		}

		return target;
	}

	/** Names of models that at least one rule allows. */
	models(): string[] {
		return [...this.#rules]
			.filter(([, rules]) =>
				[...rules.values()].some((rule) => rule.targetKind === 'model'),
			)
			.map(([name]) => name);
	}

	/** Names of the targets that an endpoint may serve. */
	targetsOf(endpoint: string): string[] {
		return [...this.#rules.keys()].filter((name) =>
			this.#isAllowed(name, endpoint),
		);
	}

	/** Contract under which a workspace's request of a class is served. */
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
				this.#touchEndpoint(record.name);
				break;
			}

			case 'rule': {
				const rules = this.#rules.get(record.target) ?? new Map<string, Rule>();
				rules.set(record.name, record);
				this.#rules.set(record.target, rules);
				this.#targets.delete(record.target);
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
				this.#touchEndpoint(record.name);
				break;
			}

			case 'rule': {
				const rules = this.#rules.get(record.target);
				rules?.delete(record.name);
				if (rules?.size === 0) {
					this.#rules.delete(record.target);
				}

				this.#targets.delete(record.target);
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

	/** Discards the built targets that an endpoint belongs to. */
	#touchEndpoint(endpoint: string): void {
		for (const name of this.#targets.keys()) {
			if (this.#isAllowed(name, endpoint)) {
				this.#targets.delete(name);
			}
		}
	}

	#isAllowed(target: string, endpoint: string): boolean {
		for (const rule of this.#rules.get(target)?.values() ?? []) {
			if (rule.endpoints.some((glob) => matches(glob, endpoint))) {
				return true;
			}
		}

		return false;
	}

	#buildTarget(name: string): Target | undefined {
		const rules = [...(this.#rules.get(name)?.values() ?? [])];
		const [first] = rules;
		if (!first) {
			return undefined;
		}

		const endpoints: EndpointView[] = [];
		for (const record of this.#endpoints.values()) {
			const instance = this.#instances.get(record.name);
			if (instance && this.#isAllowed(name, record.name)) {
				endpoints.push(viewOf(record, instance));
			}
		}

		return {
			name,
			kind: first.targetKind,
			endpoints,
			nonIdempotent: rules.flatMap((rule) => rule.nonIdempotent),
		};
	}
}

function viewOf(
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

function parseRecord(value: unknown): ConfigRecord | undefined {
	const reading = readRecord(value);
	return reading.type === 'record' ? reading.record : undefined;
}

function matches(glob: string, name: string): boolean {
	return glob.endsWith('*')
		? name.startsWith(glob.slice(0, -1))
		: glob === name;
}
