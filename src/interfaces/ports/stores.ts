/** The platform's object store. */
export type ObjectStore = {
	get(key: string): Promise<Uint8Array | undefined>;
	put(key: string, value: Uint8Array): Promise<void>;
};

/** The platform's rate-limited weight store. */
export type WeightStore = {
	/** Asks to read `bytes`; resolves to 0 when granted, or to the milliseconds after which to ask again. */
	reserve(model: string, version: string, bytes: number): Promise<number>;
};

/** One line of the platform's list of instances; lags behind the truth. */
export type ListedInstance = {
	readonly id: string;
	readonly address: string;
	readonly state: 'live' | 'leaving';
};

/** The platform's lagging list of live and leaving instances. */
export type InstanceList = {
	list(): Promise<ListedInstance[]>;
};
