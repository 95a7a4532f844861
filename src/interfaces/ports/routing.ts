/**
 * Which requests may be sent again: `idempotent` ones as often as needed,
 * `resumable` streams from the event after the last one that the caller has,
 * and `once` requests never.
 */
export type RetryMode = 'idempotent' | 'resumable' | 'once';

/** Service that gets a fraction of a route's requests. */
export type RouteTarget = {
	readonly service: string;
	/** Weight relative to the sum over the route's targets. */
	readonly weight: number;
};

/** Rule that sends the requests of a host and path to a service. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash; the longest matching prefix wins. */
	readonly pathPrefix: string;
	readonly targets: readonly RouteTarget[];
	readonly retryMode: RetryMode;
	/** The answer is a stream of events, which are forwarded as they arrive. */
	readonly isStream: boolean;
	/** Maximum time until the final answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency target until the whole answer, or until the first event of a stream, in milliseconds. */
	readonly objectiveMs: number;
	/** Latency target between two events, in milliseconds; streams only. */
	readonly gapTargetMs: number | undefined;
	/** Maximum number of endpoints to which one request is sent. */
	readonly maxSends: number;
	/** Priority of the requests, 0 is the highest; a tier of the workspace overrides it. */
	readonly tier: number;
	/** Requests need no API key. */
	readonly isPublic: boolean;
};

/** Group of endpoints that serve the same requests. */
export type Service = {
	readonly name: string;
	/** Connections that each endpoint accepts from all callers together. */
	readonly maxConnections: number;
	/** Present for model engines. */
	readonly engine: EngineLimits | undefined;
	/** Present where the number of its servers may be ordered. */
	readonly scaling: ScalingLimits | undefined;
};

/** Limits on the number of servers that may be ordered of a service. */
export type ScalingLimits = {
	/** Fewest and most servers in each data centre in which the service runs. */
	readonly minServers: number;
	readonly maxServers: number;
	/** Time from the order of a server until it serves, in milliseconds. */
	readonly bootMs: number;
};

/** Capacity of one model engine. */
export type EngineLimits = {
	/** Requests that it runs at once. */
	readonly slots: number;
	/** Capacity of its KV cache, in tokens; holds running requests and cached prompt parts. */
	readonly kvTokens: number;
	/** Tokens that one event of a stream holds. */
	readonly eventTokens: number;
	/** How engines copy KV cache from each other; undefined when they do not. */
	readonly transfer: KvTransfer | undefined;
};

/** Properties of a copy of cached prompt parts between two engines. */
export type KvTransfer = {
	readonly bytesPerToken: number;
	/** Bandwidth of an engine's own link, in megabits per second. */
	readonly linkMbps: number;
	/** Engines keep replicas of the KV cache of runs in progress at other engines. */
	readonly keepsBackups: boolean;
};

/** Workspace with its API keys. Only these restrict its requests; the records of this project's own interface do not apply. */
export type KeyHolder = {
	readonly name: string;
	readonly keys: readonly string[];
	readonly tier: number | undefined;
};

/** What a caller may send and how long it may take. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the operator's configuration. */
export type Configuration = {
	/** Increases with each version, by one or more. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	/** Workspaces with the keys that may be used; undefined where the configuration checks no keys. An empty list accepts none. */
	readonly workspaces: readonly KeyHolder[] | undefined;
	readonly limits: CallerLimits;
};

/** Endpoint with the properties that it registered. */
export type ListedEndpoint = {
	readonly id: string;
	readonly service: string;
	/** "IP:port". */
	readonly address: string;
	readonly dataCentre: string;
	/** It accepts no new requests. */
	readonly isDraining: boolean;
	/** Requests that it runs at once. */
	readonly slots: number;
	/** Unix time of its start in milliseconds; distinguishes the incarnations of one id. */
	readonly startedAt: number | undefined;
	/** Time after its start during which it is slower than later, in milliseconds. */
	readonly warmUpMs: number;
};

/** Change of one entry in the list of endpoints. */
export type EndpointChange =
	| {
			readonly type: 'listed';
			readonly endpoint: ListedEndpoint;
			/** Version of the store at which the entry was written. */
			readonly version: number;
	  }
	| {readonly type: 'removed'; readonly id: string}
	/** The entry is corrupt or from an unknown writer: it names no endpoint to use. */
	| {readonly type: 'unreadable'; readonly id: string; readonly reason: string};

/**
 * Version of a table within an era of the store. A store that is restored from
 * an older backup begins a new era and assigns versions again, so versions of
 * two eras cannot be compared.
 */
export type Position = {
	readonly era: number;
	readonly version: number;
};

/** Answer of a feed: the changes since a position, in order. */
export type Feed<Change> =
	| {
			readonly type: 'changes';
			readonly changes: readonly Change[];
			/** Position from which the feed continues. */
			readonly position: Position;
	  }
	/** The changes since the position have been compacted: the table must be listed again. */
	| {readonly type: 'lost'};

/** All entries of a table at one position, from which its feed continues. */
export type Listing<Change> = {
	readonly changes: readonly Change[];
	readonly position: Position;
};

/** Table of which a process keeps a copy. Calls that fail reject with `TableUnavailable`. */
export type WatchedTable<Change> = {
	list(): Promise<Listing<Change>>;
	/** Long poll: resolves when there is a change, or after `waitMs`. */
	feed(position: Position, waitMs: number): Promise<Feed<Change>>;
};

/** Change of the operator's configuration. */
export type ConfigurationChange =
	| {
			readonly type: 'configuration';
			readonly configuration: Configuration;
			/** Version of the store at which the operator wrote it, as opposed to that of the configuration. */
			readonly writtenAt: number;
	  }
	| {readonly type: 'unreadable'; readonly id: string; readonly reason: string};

/** Row of the roster. */
export type RosterEntry =
	| {readonly type: 'listed'; readonly address: string}
	/** The row is corrupt or from an unknown writer: it names no gateway. */
	| {readonly type: 'unreadable'; readonly id: string; readonly reason: string};

/** Registry of the running gateways. Calls that fail reject with `TableUnavailable` or `TableUncertain`; all of them are idempotent. */
export type Roster = {
	enter(): Promise<void>;
	leave(): Promise<void>;
	/** Gateways that have entered and not left; a gateway that crashed stays listed. */
	entries(): Promise<readonly RosterEntry[]>;
};
