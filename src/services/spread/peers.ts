/** The other processes of the fleet, as membership knows them. */
export class Peers {
	#list: readonly string[] = [];

	get list(): readonly string[] {
		return this.#list;
	}

	/** Number of processes in the fleet, this one included. */
	get fleet(): number {
		return this.#list.length + 1;
	}

	set(peers: readonly string[]): void {
		this.#list = peers;
	}
}
