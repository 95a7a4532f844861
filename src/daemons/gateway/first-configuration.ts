import type {Log} from '../log.js';

export type FirstConfigurationOptions = {
	/** Requests the versions of the configuration in force at other gateways; resolves to the highest one, or to undefined when there is none. */
	readonly requestNewest: () => Promise<number | undefined>;
	readonly log: Log;
};

/** Compares the first configuration that this process reads with those of the other gateways: after a restore of the store from a backup it may be older than theirs, and a withdrawn key would be accepted again. */
export class FirstConfiguration {
	readonly #options: FirstConfigurationOptions;
	#isCompared = false;
	#hasLogged = false;

	constructor(options: FirstConfigurationOptions) {
		this.#options = options;
	}

	/** No other gateway had a newer configuration, so that the one in force may decide on requests. */
	get isCompared(): boolean {
		return this.#isCompared;
	}

	/** Resolves to whether no other gateway has a newer configuration than the version in force; `version` is read after the others have answered, and undefined before the first read. */
	async compare(version: () => number | undefined): Promise<boolean> {
		if (this.#isCompared) {
			return true;
		}

		const newest = await this.#options.requestNewest();
		const own = version();
		if (own === undefined) {
			return false;
		}

		if (newest === undefined || newest <= own) {
			this.#isCompared = true;
			return true;
		}

		if (!this.#hasLogged) {
			this.#hasLogged = true;
			this.#options.log.warn('configuration_behind', {version: own, newest});
		}

		return false;
	}
}
