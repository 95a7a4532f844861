/**
 * What may be sent more than once: `idempotent` requests as often as needed,
 * `resumable` streams from the event after the last one that the caller has,
 * `once` requests never.
 */
export type Repetition = 'idempotent' | 'resumable' | 'once';

/** Service that gets a part of a route's requests. */
export type RouteTarget = {
	readonly service: string;
	/** Part relative to the sum over the route's targets. */
	readonly weight: number;
};

/** Rule that sends the requests of a host and path to a service. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash; the longest one that begins the path wins. */
	readonly pathPrefix: string;
	readonly targets: readonly RouteTarget[];
	readonly repetition: Repetition;
	/** The answer is a series of events that are forwarded as they come. */
	readonly isStream: boolean;
	/** Longest time until the final answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency target: whole answer, or first event of a stream, in milliseconds. */
	readonly objectiveMs: number;
	/** Longest pause between events that is on time, in milliseconds; streams only. */
	readonly gapTargetMs: number | undefined;
	/** Endpoints to which one request may be sent. */
	readonly maxSends: number;
	/** Rank of the requests, 0 first; a workspace's own tier goes before it. */
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
};

/** Capacity of one model engine. */
export type EngineLimits = {
	/** Requests that it runs at once. */
	readonly slots: number;
	/** Tokens of running requests and cached prompt parts that fit its memory. */
	readonly kvTokens: number;
	/** Tokens that one event of a stream holds. */
	readonly eventTokens: number;
	/** How engines hand each other what they hold of a prompt; undefined when they do not. */
	readonly transfer: MemoryTransfer | undefined;
};

/** Copying of held prompt parts between two engines. */
export type MemoryTransfer = {
	readonly bytesPerToken: number;
	/** Of an engine's own link, in megabits a second. */
	readonly linkMbps: number;
	/** Engines keep copies of runs that are in progress at others. */
	readonly keepsBackups: boolean;
};

/** Workspace that holds API keys; its requests are limited by them alone, not by the records of the own interface. */
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
	/** Rises with each version, in uneven steps. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly workspaces: readonly KeyHolder[];
	readonly limits: CallerLimits;
};

/** Endpoint as it registered itself. */
export type ListedEndpoint = {
	readonly id: string;
	readonly service: string;
	/** "IP:port". */
	readonly address: string;
	readonly dataCentre: string;
	/** It asks for no new requests. */
	readonly isDraining: boolean;
	/** Requests that it runs at once. */
	readonly slots: number;
	/** Unix time of its start in milliseconds; tells incarnations of one id apart. */
	readonly startedAt: number | undefined;
	/** Time for which it is still slow after its start, in milliseconds. */
	readonly warmUpMs: number;
};

/** Change of the list of endpoints. */
export type EndpointChange =
	| {
			readonly type: 'listed';
			readonly endpoint: ListedEndpoint;
			/** Version of the store at which the entry was written. */
			readonly version: number;
	  }
	| {readonly type: 'removed'; readonly id: string}
	/** The entry is from another writer or damaged: it names no endpoint to use. */
	| {readonly type: 'unreadable'; readonly id: string; readonly reason: string};

/**
 * Moment in the history of a table. A store that comes back from an older copy
 * begins a new era and gives versions out again, so versions of two eras say
 * nothing about each other.
 */
export type Position = {
	readonly era: number;
	readonly version: number;
};

/** Answer of a feed: what changed since a position, in order. */
export type Feed<Change> =
	| {
			readonly type: 'changes';
			readonly changes: readonly Change[];
			/** Position from which the feed goes on. */
			readonly position: Position;
	  }
	/** The history since the position is no longer kept: read everything again. */
	| {readonly type: 'lost'};

/** Everything at one moment, and the position from which its feed goes on. */
export type Listing<Change> = {
	readonly changes: readonly Change[];
	readonly position: Position;
};

/** Table of which a process keeps a copy. Calls reject with `TableUnavailable`. */
export type WatchedTable<Change> = {
	list(): Promise<Listing<Change>>;
	/** Answers when there is a change, or after `waitMs`. */
	feed(position: Position, waitMs: number): Promise<Feed<Change>>;
};

/** Change of the operator's configuration. */
export type ConfigurationChange =
	| {
			readonly type: 'configuration';
			readonly configuration: Configuration;
			/** Version of the store at which the operator wrote it; not that of the configuration. */
			readonly writtenAt: number;
	  }
	| {readonly type: 'unreadable'; readonly reason: string};

/** Which gateways run. Calls reject with `TableUnavailable` or `TableUncertain`; all of them may be repeated. */
export type Roster = {
	enter(): Promise<void>;
	leave(): Promise<void>;
	/** Addresses of the gateways that have entered and not left; one that was lost stays listed. */
	addresses(): Promise<readonly string[]>;
};
