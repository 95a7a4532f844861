/** Headers as they stand on the wire: name, value, name, value. */
export type RawHeaders = readonly string[];

/** Part of a prompt that several requests may share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** What a request tells about the work that it brings to a model engine. */
export type Prompt = {
	readonly model: string;
	readonly promptTokens: number;
	/** Tokens that the answer is expected to have; often far off. */
	readonly outputTokens: number;
	/** In order; the last one belongs to the request itself or to its session. */
	readonly parts: readonly PromptPart[];
};

/** What the router needs to know of a request's head. */
export type RequestHead = {
	readonly requestId: string;
	/** Time that the caller will wait, in milliseconds; undefined when it does not say. */
	readonly deadlineMs: number | undefined;
	readonly key: string | undefined;
	/** Number of the last event that the caller has of this stream. */
	readonly lastEventId: number | undefined;
	readonly prompt: Prompt | undefined;
};

/** Copy of a run's memory at an engine. */
export type RunCopy = {
	/** "IP:port" of the engine that keeps it. */
	readonly address: string;
	/** Request whose run it is. */
	readonly requestId: string;
};

/** What the router adds to a request for one endpoint. */
export type SendHead = {
	/** The endpoint rejects the request when it is not this one. */
	readonly endpointId: string;
	/** Time left, in milliseconds. */
	readonly deadlineMs: number;
	readonly workspace: string | undefined;
	readonly tier: number;
	/** Event after which a stream goes on. */
	readonly lastEventId: number | undefined;
	/** "IP:port" of an engine from which the endpoint copies what it lacks of the prompt. */
	readonly copyFrom: string | undefined;
	/** "IP:port" of an engine that keeps a copy of the run. */
	readonly backupAt: string | undefined;
	/** A copy of the run with which the endpoint goes on; undefined to begin. */
	readonly resumeFrom: RunCopy | undefined;
};

/** Load that an endpoint states in an answer. */
export type StatedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

/** What the router needs to know of an answer's head. */
export type AnswerHead = {
	/** Request that the answer belongs to. */
	readonly requestId: string | undefined;
	/** The endpoint vouches for the answer; a success without it is not the endpoint's. */
	readonly isSigned: boolean;
	/** The endpoint states that the request did not run. */
	readonly isNotExecuted: boolean;
	/** The endpoint that answers wants no new requests any more. */
	readonly isLeaving: boolean;
	readonly load: StatedLoad | undefined;
	/** Time after which the endpoint may be asked again, in milliseconds; undefined when it states none or nothing that can be read. */
	readonly retryAfterMs: number | undefined;
	/** The endpoint states such a time in a form that cannot be read. */
	readonly hasBadRetryAfter: boolean;
	/** The body has been encoded on the way. */
	readonly isEncoded: boolean;
};

/** What a model engine says of its memory. */
export type EngineReport = {
	/** Tokens in memory that running requests need. */
	readonly usedTokens: number;
	readonly totalTokens: number;
	/** Unix time of the engine's start in milliseconds, as in its entry. */
	readonly startedAt: number | undefined;
};

/** Names and formats of headers on the wire. Methods without a network or state. */
export type HttpFormat = {
	/** Path at which a model engine reports its state, at any load. */
	readonly enginePath: string;
	readRequest(headers: RawHeaders): RequestHead;
	/** Headers for an endpoint: the caller's, less those of one connection and those that the router sets. */
	requestHeaders(headers: RawHeaders, head: SendHead): string[];
	/** Undefined when the body is no report. */
	readEngine(body: string): EngineReport | undefined;
	readAnswer(status: number, headers: RawHeaders): AnswerHead;
	/** Headers for the caller: the endpoint's, less those of one connection. */
	answerHeaders(headers: RawHeaders): string[];
};
