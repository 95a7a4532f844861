/** Row of a duty in the platform's store. */
export type DutyRow = {
	readonly version: number;
	readonly text: string;
};

/** A duty's row at a time; undefined when it does not exist. Versions of different eras cannot be compared. */
export type DutyReading = {
	readonly era: number;
	readonly row: DutyRow | undefined;
};

/** Result of a conditional write: done, or not done because the row has another version. */
export type DutyWriteResult =
	| {
			readonly type: 'written';
			readonly era: number;
			readonly version: number;
	  }
	| ({readonly type: 'conflict'} & DutyReading);

/** Rows by which one gateway at a time holds each duty. A write that rejects may have been done, or may be done later if its condition still holds. */
export type DutyRows = {
	read(duty: string): Promise<DutyReading>;
	/** Writes the row if it has the expected version; 0 means that it does not exist. */
	write(
		duty: string,
		expectedVersion: number,
		text: string,
	): Promise<DutyWriteResult>;
};

/** The right by which a call is made, which the platform checks and records. */
export type DutyRight = {
	/** Name of the gateway that holds the duty. */
	readonly holder: string;
	readonly token: number;
};

export type UsageReport = {
	readonly window: number;
	/** Requests that began to run in the window, by workspace. */
	readonly counts: Readonly<Record<string, number>>;
};

/** Service in one data centre, whose servers are ordered together. */
export type ScaleSubject = {
	readonly service: string;
	readonly dataCentre: string;
};

/** Desired number of servers of a service in a data centre. */
export type ServerOrder = ScaleSubject & {readonly desired: number};

/** How a call to the platform's API ended. */
export type CloudCallResult =
	| {readonly type: 'accepted'}
	/** The API answered with another status than 200, so the call may not have been accepted. */
	| {
			readonly type: 'refused';
			readonly status: number;
			/** Time after which the API accepts calls again, in milliseconds; undefined when it states none. */
			readonly retryAfterMs: number | undefined;
	  }
	/** The right had lapsed before the first byte was written. */
	| {readonly type: 'not sent'}
	/** No answer: the call may have been accepted. */
	| {readonly type: 'failed'; readonly reason: string};

/** Guards of one call. */
export type CloudCallGuard = {
	/** Called synchronously just before the first byte of the request is written; the call is not sent if it returns false. */
	readonly mayWrite: () => boolean;
	/** Aborts the call; bytes that the kernel has not sent are dropped. */
	readonly signal: AbortSignal;
};

/** The platform's API for calls that one gateway at a time makes for all. Its methods never reject. */
export type CloudApi = {
	reportUsage(
		report: UsageReport,
		right: DutyRight,
		guard: CloudCallGuard,
	): Promise<CloudCallResult>;
	orderServers(
		order: ServerOrder,
		right: DutyRight,
		guard: CloudCallGuard,
	): Promise<CloudCallResult>;
	dispose(): void;
};
