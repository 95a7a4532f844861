/** HTTP call for an endpoint, as the caller sent it. `body` is base64 text when `binary` is set. */
export type Call = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	readonly binary?: boolean;
};

/** Point from which an engine continues an answer that another engine began. */
export type ResumePoint = {
	/** Sequence number of the last chunk that the caller has. */
	readonly sequence: number;
	/** Text generated so far. */
	readonly text: string;
	/** Tokens generated so far. */
	readonly tokens: number;
};

/** Progress of a call that an endpoint runs. */
export type EndpointEvent =
	| {
			readonly type: 'head';
			readonly status: number;
			readonly headers: Readonly<Record<string, string>>;
			/** Set when chunk data is base64 text. */
			readonly binary: boolean;
	  }
	| {readonly type: 'chunk'; readonly data: string; readonly tokens: number}
	| {readonly type: 'end'}
	/** `sent` is false when the call certainly did not reach the endpoint. */
	| {readonly type: 'error'; readonly sent: boolean; readonly reason: string};

/** A call in progress at an endpoint. */
export type Execution = {
	cancel(): void;
	/** Stops reading the answer until `resume`, so that data for a slow caller does not fill memory. */
	pause(): void;
	resume(): void;
};

/** Load as the endpoint reports it; may be out of date. */
export type LoadReport = {
	readonly running: number;
	readonly waiting: number;
	/** Tokens held in the KV cache, and its capacity in tokens. */
	readonly kvTokens: number;
	readonly kvCapacity: number;
};

/** Notification that the engine has cached or evicted a prompt prefix block. */
export type CacheEvent = {
	readonly type: 'stored' | 'evicted';
	readonly block: string;
	/** Increases by one with each event; a gap shows that events were lost. */
	readonly number: number;
};

/** A model engine or a plain service beside which a sidecar runs. */
export type Endpoint = {
	/** Starts a call. Events are delivered until `end` or `error`. */
	run(
		call: Call,
		options: {
			readonly requestId: string;
			readonly priority: number;
			readonly resume?: ResumePoint;
		},
		onEvent: (event: EndpointEvent) => void,
	): Execution;
	load(): Promise<LoadReport>;
	/** Cache events after a number; engines publish them late and with gaps. */
	cacheEvents(after: number): Promise<CacheEvent[]>;
};
