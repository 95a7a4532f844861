import {
	type Contract,
	type EndpointRecord,
	type ListedInstance,
	type RequestClass,
	type Rule,
	type Workspace,
	recordSchema,
	type ConfigRecord,
} from '../../platform/index.js';

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

/** The records in force, indexed for the request path. */
export class Catalogue {
	readonly #records = new Map<string, ConfigRecord>();
	readonly #workspaces = new Map<string, Workspace>();
	readonly #targets = new Map<string, Target>();
	#instances: readonly ListedInstance[] = [];

	/** Replaces a record, or removes it when `value` is null. Text that is not a known record is ignored, since a later operator may write kinds that this version lacks. */
	set(key: string, value: string | null): void {
		const record = value === null ? undefined : parseRecord(value);
		if (record) {
			this.#records.set(key, record);
		} else {
			this.#records.delete(key);
		}

		this.#index();
	}

	/** Replaces all records. */
	replaceAll(rows: ReadonlyArray<{key: string; value: string}>): void {
		this.#records.clear();
		for (const {key, value} of rows) {
			const record = parseRecord(value);
			if (record) {
				this.#records.set(key, record);
			}
		}

		this.#index();
	}

	setInstances(instances: readonly ListedInstance[]): void {
		this.#instances = instances;
		this.#index();
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

	target(name: string): Target | undefined {
		return this.#targets.get(name);
	}

	/** Names of models that at least one rule allows. */
	models(): string[] {
		return [...this.#targets.values()]
			.filter((target) => target.kind === 'model')
			.map((target) => target.name);
	}

	/** Names of the targets that an endpoint may serve. */
	targetsOf(endpoint: string): string[] {
		return [...this.#records.values()]
			.filter((record) => record.kind === 'rule')
			.filter((rule) => rule.endpoints.some((glob) => matches(glob, endpoint)))
			.map((rule) => rule.target);
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

	#index(): void {
		this.#workspaces.clear();
		this.#targets.clear();
		const endpoints = this.#endpoints();
		for (const record of this.#records.values()) {
			if (record.kind === 'workspace') {
				for (const hash of record.keyHashes) {
					this.#workspaces.set(hash, record);
				}
			} else if (record.kind === 'rule') {
				this.#addRule(record, endpoints);
			}
		}
	}

	#endpoints(): EndpointView[] {
		const records = new Map<string, EndpointRecord>();
		for (const record of this.#records.values()) {
			if (record.kind === 'endpoint') {
				records.set(record.name, record);
			}
		}

		return this.#instances.flatMap((instance) => {
			const record = records.get(instance.id);
			return record
				? [
						{
							name: record.name,
							type: record.type,
							dataCentre: record.dataCentre,
							region: record.region,
							address: instance.address,
							leaving: instance.state === 'leaving',
						},
					]
				: [];
		});
	}

	#addRule(rule: Rule, endpoints: readonly EndpointView[]): void {
		const earlier = this.#targets.get(rule.target);
		const allowed = endpoints.filter((endpoint) =>
			rule.endpoints.some((glob) => matches(glob, endpoint.name)),
		);
		this.#targets.set(rule.target, {
			name: rule.target,
			kind: rule.targetKind,
			endpoints: [...new Set([...(earlier?.endpoints ?? []), ...allowed])],
			nonIdempotent: [...(earlier?.nonIdempotent ?? []), ...rule.nonIdempotent],
		});
	}
}

function parseRecord(value: string): ConfigRecord | undefined {
	try {
		return recordSchema.safeParse(JSON.parse(value)).data;
	} catch {
		return undefined;
	}
}

function matches(glob: string, name: string): boolean {
	return glob.endsWith('*')
		? name.startsWith(glob.slice(0, -1))
		: glob === name;
}
