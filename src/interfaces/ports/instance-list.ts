/** Entry of the platform's instance list; may be out of date. */
export type ListedInstance = {
	readonly id: string;
	readonly address: string;
	readonly state: 'live' | 'leaving';
};

/** The platform's list of live and leaving instances; changes appear in it with a delay. */
export type InstanceList = {
	list(): Promise<ListedInstance[]>;
};
