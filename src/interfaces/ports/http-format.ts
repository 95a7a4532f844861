/** Headers in the order received, as alternating names and values, like Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** Part of a prompt that several requests may share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** What a request states about the work that it causes at a model engine. */
export type Prompt = {
	readonly model: string;
	readonly promptTokens: number;
	/** Expected length of the answer, in tokens; often inaccurate. */
	readonly outputTokens: number;
	/** In order; the last one is specific to the request or to its session. */
	readonly parts: readonly PromptPart[];
};

/** Fields of a request's head that the router uses. */
export type RequestHead = {
	readonly requestId: string;
	/** Time that the caller will wait, in milliseconds; undefined when it states none. */
	readonly deadlineMs: number | undefined;
	readonly key: string | undefined;
	/** Number of the last event of this stream that the caller has received. */
	readonly lastEventId: number | undefined;
	readonly prompt: Prompt | undefined;
};

/** Replica of a run's KV cache at an engine. */
export type RunCopy = {
	/** "IP:port" of the engine that holds it. */
	readonly address: string;
	/** Id of the request that the run belongs to. */
	readonly requestId: string;
};

/** Fields that the router adds to a request for one endpoint. */
export type SendHead = {
	/** Id of the intended endpoint; any other endpoint rejects the request. */
	readonly endpointId: string;
	/** Time left, in milliseconds. */
	readonly deadlineMs: number;
	readonly workspace: string | undefined;
	/** Priority that the endpoint is told, 0 first. */
	readonly priority: number;
	/** Number of the event after which the stream resumes. */
	readonly lastEventId: number | undefined;
	/** "IP:port" of an engine from which the endpoint copies the part of the prompt's KV cache that it lacks. */
	readonly copyFrom: string | undefined;
	/** "IP:port" of an engine that keeps a replica of the run's KV cache. */
	readonly backupAt: string | undefined;
	/** Replica of the run's KV cache from which the endpoint resumes the run; undefined to start a new one. */
	readonly resumeFrom: RunCopy | undefined;
};

/** Load that an endpoint reports in the headers of an answer. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes on its machine at this moment, 1 being usual; undefined when it does not state it. */
	readonly slowdown?: number | undefined;
};

/** Fields of an answer's head that the router uses. */
export type AnswerHead = {
	/** Request that the answer belongs to. */
	readonly requestId: string | undefined;
	/** The answer carries the endpoint's stamp; a success without it is not from the endpoint. */
	readonly isSigned: boolean;
	/** The endpoint states that the request did not run. */
	readonly isNotExecuted: boolean;
	/** The endpoint accepts no new requests, because it is draining. */
	readonly isLeaving: boolean;
	readonly load: ReportedLoad | undefined;
	/** Time after which the endpoint accepts requests again (Retry-After), in milliseconds; undefined when the header is absent or cannot be parsed. */
	readonly retryAfterMs: number | undefined;
	/** The endpoint sent such a time in a form that cannot be parsed. */
	readonly hasBadRetryAfter: boolean;
	/** Requests a second that the endpoint takes from all gateways together; undefined when the header is absent or cannot be parsed. */
	readonly requestsPerSecond: number | undefined;
	/** The endpoint sent such a limit in a form that cannot be parsed. */
	readonly hasBadRequestLimit: boolean;
	/** An intermediary has encoded the body. */
	readonly isEncoded: boolean;
};

/** KV cache usage that a model engine reports. */
export type EngineReport = {
	/** Tokens in the KV cache that running requests need. */
	readonly usedTokens: number;
	readonly totalTokens: number;
	/** Unix time of the engine's start in milliseconds, as in its entry of the endpoint list. */
	readonly startedAt: number | undefined;
};

/** Names and formats of the headers on the wire. Its methods neither use the network nor keep state. */
export type HttpFormat = {
	/** Path at which a model engine reports its KV cache usage, at any load. */
	readonly engineReportPath: string;
	parseRequest(headers: RawHeaders): RequestHead;
	/** Headers for an endpoint: the caller's, without hop-by-hop headers, and those that the router sets. */
	requestHeaders(headers: RawHeaders, head: SendHead): string[];
	/** Undefined when the body is not a valid report. */
	parseEngineReport(body: string): EngineReport | undefined;
	parseAnswer(status: number, headers: RawHeaders): AnswerHead;
	/** Headers for the caller: the endpoint's, without hop-by-hop headers. */
	answerHeaders(headers: RawHeaders): string[];
};
