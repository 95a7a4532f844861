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
