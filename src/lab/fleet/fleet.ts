import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {request} from 'undici';
import {z} from 'zod';
import {DisposableStore} from '../../base/index.js';
import {writeRecords} from '../../daemons/index.js';
import {
	recordSchema,
	type ConfigRecord,
	type EndpointRecord,
} from '../../interfaces/index.js';
import {
	EngineServer,
	InstanceListServer,
	MemoryTable,
	ServiceServer,
	TableServer,
	type EngineServerOptions,
	TcpForwarder,
} from '../../interfaces/standins/index.js';
import {freePort, isReady, waitUntil} from './loopback.js';

const peerKey = 'loopback-fleet-key';
const root = fileURLToPath(new URL('../../..', import.meta.url));

export type FleetOptions = {
	/** Directory under examples/ whose records are used. */
	readonly deployment: 'gebeya' | 'harlech';
	readonly entries: number;
	/** Maximum number of engine endpoints, and of service endpoints, that are started; keeps a test small. */
	readonly engines: number;
	readonly services: number;
	readonly engine?: EngineServerOptions;
	/** URL of an engine in another process, which replaces the stand-ins in this one. */
	readonly engineUrl?: string;
	/** Puts a TCP forwarder between the entries and each sidecar. */
	readonly forwarders?: boolean;
	/** Options of Node.js for every process, such as `--cpu-prof`. */
	readonly nodeOptions?: readonly string[];
	/** Lines appended to every settings file. */
	readonly settings?: readonly string[];
};

/** A running entry or sidecar, with the addresses that it listens on. */
export type FleetProcess = {
	readonly name: string;
	readonly child: ChildProcess;
	/** Caller address of an entry or peer address of a sidecar. */
	readonly address: string;
	/** Peer address that other processes connect to: the forwarder's when there is one. */
	readonly peer: string;
	readonly admin: string;
};

/** A complete deployment on loopback: entries and sidecars run as separate processes; engines, services, table and instance list are stand-ins in this process. */
export class Fleet {
	readonly table = new MemoryTable();
	readonly tableServer = new TableServer(this.table);
	readonly instanceList = new InstanceListServer();
	readonly engines = new Map<string, EngineServer>();
	readonly services = new Map<string, ServiceServer>();
	readonly entries: FleetProcess[] = [];
	readonly sidecars = new Map<string, FleetProcess>();
	/** Forwarder in front of each sidecar, by endpoint name. */
	readonly forwarders = new Map<string, TcpForwarder>();
	/** Model of the deployment's routing rules; empty before `start`. */
	model = '';
	readonly #store = new DisposableStore();
	readonly #options: FleetOptions;
	#directory = '';
	#tableUrl = '';
	#instanceListUrl = '';

	constructor(options: FleetOptions) {
		this.#options = options;
	}

	/** Starts everything and resolves when every process is ready. */
	async start(): Promise<void> {
		this.#directory = await mkdtemp(path.join(tmpdir(), 'cicadaswitch-'));
		this.#tableUrl = await this.#store.add(this.tableServer).listen();
		this.#instanceListUrl = await this.#store.add(this.instanceList).listen();
		const records = await this.#loadRecords();
		for (const record of records) {
			if (record.kind === 'rule' && record.targetKind === 'model') {
				this.model = record.target;
			}
		}

		const endpoints = records.filter((record) => record.kind === 'endpoint');
		await Promise.all([
			...endpoints
				.filter((endpoint) => endpoint.type === 'engine')
				.slice(0, this.#options.engines)
				.map(async (endpoint) => this.startEndpoint(endpoint)),
			...endpoints
				.filter((endpoint) => endpoint.type === 'service')
				.slice(0, this.#options.services)
				.map(async (endpoint) => this.startEndpoint(endpoint)),
		]);
		const {dataCentre, region} = endpoints[0]!;
		await Promise.all(
			Array.from({length: this.#options.entries}, async (_, index) =>
				this.startEntry(`entry-${index + 1}`, dataCentre, region),
			),
		);
	}

	/** Starts the stand-in of an endpoint and its sidecar, and adds the sidecar to the instance list. */
	async startEndpoint(endpoint: EndpointRecord): Promise<void> {
		const url = await this.#startBackend(endpoint);
		const peer = `127.0.0.1:${await freePort()}`;
		const sidecar = await this.#spawn('sidecar', endpoint.name, peer, [
			...this.#commonSettings('sidecar', endpoint.name, endpoint),
			'[endpoint]',
			`type = ${endpoint.type}`,
			`url = ${url}`,
		]);
		this.sidecars.set(endpoint.name, sidecar);
	}

	async startEntry(
		name: string,
		dataCentre: string,
		region: string,
	): Promise<FleetProcess> {
		const caller = `127.0.0.1:${await freePort()}`;
		const entry = await this.#spawn('entry', name, caller, [
			...this.#commonSettings('entry', name, {dataCentre, region}),
		]);
		this.entries.push(entry);
		return entry;
	}

	/** Fetches the state dump of a process from its admin address. */
	async dump(process: FleetProcess): Promise<unknown> {
		const answer = await request(`http://${process.admin}/dump`);
		return answer.body.json();
	}

	/** Kills every process that this fleet has started and removes its files. */
	async dispose(): Promise<void> {
		for (const {child} of [...this.entries, ...this.sidecars.values()]) {
			child.kill('SIGKILL');
		}

		this.#store.dispose();
		await rm(this.#directory, {recursive: true, force: true});
	}

	async #loadRecords(): Promise<ConfigRecord[]> {
		const file = path.join(
			root,
			'examples',
			this.#options.deployment,
			'records.json',
		);
		const records = z
			.array(recordSchema)
			.parse(JSON.parse(await readFile(file, 'utf8')));
		const {result} = await writeRecords(this.table, {
			operator: this.#options.deployment,
			edits: records.map((record) => ({
				kind: record.kind,
				name: record.name,
				record,
			})),
		});
		if (result.type !== 'accepted') {
			throw new Error(
				`the table did not accept the records of ${file}: ${result.type}`,
			);
		}

		return records;
	}

	async #startBackend(endpoint: EndpointRecord): Promise<string> {
		if (endpoint.type === 'engine' && this.#options.engineUrl) {
			return this.#options.engineUrl;
		}

		if (endpoint.type === 'engine') {
			const engine = new EngineServer(this.#options.engine);
			this.engines.set(endpoint.name, this.#store.add(engine));
			return engine.listen();
		}

		const service = new ServiceServer(endpoint.name);
		this.services.set(endpoint.name, this.#store.add(service));
		return service.listen();
	}

	async #startForwarder(endpoint: string, peer: string): Promise<string> {
		const forwarder = this.#store.add(
			new TcpForwarder({host: '127.0.0.1', port: Number(peer.split(':')[1])}),
		);
		this.forwarders.set(endpoint, forwarder);
		return forwarder.listen();
	}

	#commonSettings(
		role: string,
		instance: string,
		location: {readonly dataCentre: string; readonly region: string},
	): string[] {
		return [
			'[process]',
			`role = ${role}`,
			`instance = ${instance}`,
			`data_centre = ${location.dataCentre}`,
			`region = ${location.region}`,
			'[peers]',
			`key = ${peerKey}`,
			'[platform]',
			`table = ${this.#tableUrl}`,
			`instances = ${this.#instanceListUrl}`,
		];
	}

	async #spawn(
		role: 'entry' | 'sidecar',
		name: string,
		address: string,
		lines: readonly string[],
	): Promise<FleetProcess> {
		const admin = `127.0.0.1:${await freePort()}`;
		const file = path.join(this.#directory, `${name}.ini`);
		const listenKey = role === 'entry' ? 'caller' : 'peer';
		const peer = role === 'entry' ? `127.0.0.1:${await freePort()}` : address;
		const advertised =
			role === 'sidecar' && this.#options.forwarders
				? await this.#startForwarder(name, peer)
				: peer;
		const addresses = [
			'[addresses]',
			`${listenKey} = ${address}`,
			...(peer === address ? [] : [`peer = ${peer}`]),
			...(advertised === peer ? [] : [`advertise = ${advertised}`]),
			`admin = ${admin}`,
		];
		const extraLines = this.#options.settings ?? [];
		await writeFile(
			file,
			[...lines, ...addresses, ...extraLines, ''].join('\n'),
		);
		const isSource = import.meta.url.endsWith('.ts');
		const main = isSource ? 'src/cli/main.ts' : 'dist/cli/main.js';
		const child = spawn(
			process.execPath,
			[
				...(this.#options.nodeOptions ?? []),
				...(isSource ? ['--import', 'tsx'] : []),
				path.join(root, main),
				role,
				file,
			],
			{cwd: root, stdio: ['ignore', 'ignore', 'inherit']},
		);
		const fleetProcess = {name, child, address, peer: advertised, admin};
		await waitUntil(`${name} is ready`, async () => {
			if (child.exitCode !== null) {
				throw new Error(
					`${name} exited with status ${child.exitCode} before it was ready`,
				);
			}

			return isReady(admin);
		});
		this.instanceList.instances.push({
			id: name,
			address: advertised,
			state: 'live',
		});
		return fleetProcess;
	}
}
