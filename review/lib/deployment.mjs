/* eslint camelcase: ["error", {"properties": "never"}] -- Settings and messages use snake_case. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, readFileSync} from 'node:fs';
import {mkdtemp, readFile, rename, rm, writeFile} from 'node:fs/promises';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Port of the metrics in the deploy file; each gateway has a loopback address of its own. */
const metricsPort = 9464;

const startTimeoutMs = 15_000;

/** Time after which a case that has not ended could not run, in milliseconds. */
const caseTimeoutMs = 110_000;

export const delay = async (ms) =>
	new Promise((resolve) => {
		setTimeout(resolve, ms);
	});

/** The case could not run. */
export class CannotRun extends Error {
	name = 'CannotRun';
}

/** Resolves to a free port of a loopback address. */
async function freePort(host, port = 0) {
	const server = createServer();
	server.listen(port, host);
	await once(server, 'listening');
	const found = server.address().port;
	server.close();
	await once(server, 'close');
	return found;
}

/** Words of the command that the deploy file starts. */
function command() {
	const deployFile = readFileSync(
		path.join(root, 'deploy', 'system.toml'),
		'utf8',
	);
	const match = /^run = "(?<words>[^"]+)"$/mv.exec(deployFile);
	return match.groups.words.split(' ');
}

/** A small deployment: a store and gateways, as processes of their own, on loopback addresses. */
export class Deployment {
	store = new Store();
	#record;
	#folder;
	#storeAddress;
	#network = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
	#gateways = new Map();
	#startedAt = performance.now();

	/** `recordFile` gets one line for each event. */
	constructor(recordFile) {
		this.#record = createWriteStream(recordFile);
	}

	async start() {
		this.#folder = await mkdtemp(path.join(tmpdir(), 'cicadaswitch-review-'));
		this.#storeAddress = await this.addStoreAddress(250);
	}

	/** Lets the store listen at a further address, and resolves to that. */
	async addStoreAddress(number) {
		const host = this.host(number);
		const port = await freePort(host);
		await this.store.listen(host, port);
		return `${host}:${port}`;
	}

	/** Moves the store to another address: the settings of all gateways change, and each gets a SIGHUP. Resolves to the address before. */
	async changeStoreAddress(address) {
		const before = this.#storeAddress;
		this.#storeAddress = address;
		for (const [name, {file}] of this.#gateways) {
			const text = await readFile(file, 'utf8');
			await writeFile(`${file}.new`, text.replace(before, address));
			await rename(`${file}.new`, file);
			this.signal(name, 'SIGHUP');
		}

		return before;
	}

	/** Writes one line with the time since the start to the record. */
	note(text) {
		const at = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
		if (!this.#record.writableEnded) {
			this.#record.write(`${at.padStart(8)} s  ${text}\n`);
		}
	}

	/** Loopback address for a stand-in. */
	host(number) {
		return `${this.#network}.${number}`;
	}

	/** Starts a gateway and resolves when it is ready; one that was started before starts again with its settings. */
	async startGateway(name, number, fields = {}) {
		const gateway =
			this.#gateways.get(name) ?? (await this.#configure(name, number, fields));
		this.#gateways.set(name, gateway);
		const [program, ...words] = command();
		const child = spawn(program, words, {
			cwd: root,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				LANG: process.env.LANG,
				CICADASWITCH_BOOT: gateway.file,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		gateway.child = child;
		const log = createWriteStream(gateway.log, {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		child.once('exit', (code, signal) => {
			this.note(`gateway ${name} has ended (${signal ?? code})`);
		});
		const endsAt = performance.now() + startTimeoutMs;
		while (!(await isReady(gateway))) {
			if (performance.now() > endsAt || child.exitCode !== null) {
				throw new CannotRun(`gateway ${name} is not ready`);
			}

			await delay(20);
		}

		this.note(`gateway ${name} is ready`);
		return gateway;
	}

	/** Sends a signal to a gateway. */
	signal(name, signal) {
		this.note(`${signal} to gateway ${name}`);
		this.#gateways.get(name).child.kill(signal);
	}

	/** Ends all processes, and the store. */
	async close() {
		for (const {child} of this.#gateways.values()) {
			if (child && child.exitCode === null && child.signalCode === null) {
				const ended = once(child, 'exit');
				child.kill('SIGKILL');
				await ended;
			}
		}

		this.store.close();
		this.#record.end();
		await once(this.#record, 'close');
		if (process.env.KEEP !== '1') {
			await rm(this.#folder, {recursive: true});
		}
	}

	async #configure(name, number, fields) {
		const ip = this.host(number);
		await freePort(ip, metricsPort);
		const callerPort = await freePort(ip);
		const readyPort = await freePort(ip);
		const peerPort = await freePort(ip);
		const settings = {
			node_name: name,
			role: 'gateway',
			machine_class: 'edge',
			serves: 'edge',
			ip,
			zone: 'bole',
			region: 'addis',
			'zones.bole': 'addis',
			'listen.frontend': `${ip}:${callerPort}`,
			'listen.readiness': `${ip}:${readyPort}`,
			port_range: `${peerPort},${peerPort + 15}`,
			bootstrap: true,
			'limits.memory_mb': 350,
			'limits.max_fds': 4100,
			discovery: 'platform',
			entry: 'vip',
			heartbeat_ms: 1200,
			'bounds.contact_ms': 3000,
			'bounds.drain_ms': 2000,
			'bounds.grace_s': 8,
			'bounds.config_ms': 2000,
			'bounds.strict_revoke': true,
			'bounds.revoke_ms': 5000,
			'bounds.retry_ratio': 0.2,
			'bounds.retry_window_s': 10,
			'bounds.retry_slack': 58,
			'platform.address': this.#storeAddress,
			'platform.form': 'table',
			'platform.history_s': 20,
			...fields,
		};
		const file = path.join(this.#folder, `${name}.conf`);
		await writeFile(
			file,
			Object.entries(settings)
				.map(([key, value]) => `${key}=${value}\n`)
				.join(''),
		);
		return {
			name,
			file,
			log: path.join(this.#folder, `${name}.log`),
			ip,
			callerPort,
			readyPort,
		};
	}
}

async function isReady({ip, readyPort}) {
	return new Promise((resolve) => {
		get(
			{host: ip, port: readyPort, path: '/api/readyz', agent: false},
			(response) => {
				response.resume();
				resolve(response.statusCode === 200);
			},
		).on('error', () => {
			resolve(false);
		});
	});
}

/** Rejects when the case has taken too long, unless it is aborted before. */
async function timeOut(signal) {
	return new Promise((_resolve, reject) => {
		const timer = setTimeout(() => {
			reject(new CannotRun('the case has not ended in time'));
		}, caseTimeoutMs);
		signal.addEventListener('abort', () => {
			clearTimeout(timer);
		});
	});
}

/** Runs a case: exits with 1 if `play` resolves to false, with 0 if it resolves to true, and with 2 if the case could not run. */
export async function runCase(recordFile, play) {
	const hasTrouble = process.env.TROUBLE !== '0';
	const deployment = new Deployment(recordFile);
	const deadline = new AbortController();
	let status = 2;
	try {
		await deployment.start();
		const isKept = await Promise.race([
			play(deployment, hasTrouble),
			timeOut(deadline.signal),
		]);
		status = isKept ? 0 : 1;
	} catch (error) {
		console.error(error);
	}

	deadline.abort();
	await deployment.close();
	process.exitCode = status;
}
