import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync,
	openSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {freePorts} from './loopback.mjs';

/** Command of the role in deploy/system.toml; the port of the metrics is a free one here. */
const command = ['--max-old-space-size=160', 'target/gateway.mjs', '--metrics'];

/** Time within which a gateway must be ready, in milliseconds. */
const readyMs = 15_000;

/** Process of the project's gateway, with settings like those of a small deployment. */
export class Gateway {
	#directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	#logFile = path.join(this.#directory, 'gateway.log');
	#program;

	/** Resolves when the gateway is ready. */
	static async start(storeAddress, {name = 'edge-bole-1', zone = 'bole'} = {}) {
		const gateway = new Gateway();
		await gateway.#start(storeAddress, name, zone);
		return gateway;
	}

	/** How the process has ended; undefined while it runs. */
	get end() {
		const {exitCode, signalCode} = this.#program;
		return exitCode === null && signalCode === null
			? undefined
			: (signalCode ?? `status ${exitCode}`);
	}

	get pid() {
		return this.#program.pid;
	}

	async isReady() {
		try {
			const answer = await fetch(
				`http://127.0.0.1:${this.readinessPort}/api/readyz`,
				{signal: AbortSignal.timeout(1000)},
			);
			return answer.status === 200;
		} catch {
			return false;
		}
	}

	/** Lines of its output that contain a text. */
	loggedLines(text) {
		return readFileSync(this.#logFile, 'utf8')
			.split('\n')
			.filter((line) => line.includes(text));
	}

	signal(name) {
		this.#program.kill(name);
	}

	/** Ends the process and removes its settings. */
	async close() {
		if (this.end === undefined) {
			const ended = once(this.#program, 'exit');
			this.#program.kill('SIGKILL');
			await ended;
		}

		rmSync(this.#directory, {recursive: true});
	}

	async #start(storeAddress, name, zone) {
		const [port, readinessPort, peerPort, metricsPort] = await freePorts(4);
		this.port = port;
		this.readinessPort = readinessPort;
		const file = path.join(this.#directory, 'node.conf');
		writeFileSync(
			file,
			`node_name=${name}
role=gateway
machine_class=edge
serves=edge
ip=127.0.0.1
zone=${zone}
region=addis
zones.bole=addis
zones.piassa=addis
zones.kazanchis=addis
listen.frontend=127.0.0.1:${port}
listen.readiness=127.0.0.1:${readinessPort}
port_range=${peerPort},${peerPort}
limits.cpu_quota=0.513
limits.cpus=1
limits.memory_mb=350
limits.max_fds=4100
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_ms=2000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=58
platform.address=${storeAddress}
platform.form=table
`,
		);
		const log = openSync(this.#logFile, 'w');
		this.#program = spawn(
			process.execPath,
			[...command, `${metricsPort}/metrics`],
			{
				env: {
					PATH: process.env.PATH,
					HOME: process.env.HOME,
					CICADASWITCH_BOOT: file,
				},
				stdio: ['ignore', log, log],
			},
		);
		const until = performance.now() + readyMs;
		while (!(await this.isReady())) {
			if (performance.now() > until || this.end !== undefined) {
				throw new Error('the gateway does not become ready');
			}

			await new Promise((resolve) => {
				setTimeout(resolve, 100);
			});
		}
	}
}
