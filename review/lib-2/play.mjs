import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {configuration} from './callers.mjs';
import {Gateway} from './gateway.mjs';
import {PlainServer} from './server.mjs';
import {Store} from './store.mjs';

/** Exit statuses of a case. */
const held = 0;
const broken = 1;
const notRun = 2;

/** Longest time of a case, in milliseconds. */
const maxMs = 110_000;

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Name of the plain service. */
export const service = 'wuno96b';

export async function delay(ms) {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

/** Resolves when a condition holds; rejects after a time in milliseconds. */
export async function waitUntil(name, holds, ms = 10_000) {
	const until = performance.now() + ms;
	while (!holds()) {
		if (performance.now() > until) {
			throw new Error(`not in time: ${name}`);
		}

		await delay(20);
	}
}

/**
 * Starts a store, three servers of a plain service and one gateway, and plays a
 * case with them. `play` resolves to whether the rule was broken. Writes the
 * record, ends what was started and exits.
 */
export async function playCase(recordUrl, play, {workMs = 20} = {}) {
	const lines = [];
	const record = (text) => {
		lines.push(text);
		console.log(text);
	};

	const store = new Store();
	const servers = ['i-7f3a91c1', 'i-7f3a91c2', 'i-7f3a91c3'].map(
		(id) => new PlainServer(id, workMs),
	);
	const sockets = new Set();
	let gateway;
	let status = notRun;
	const end = async () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		await gateway?.close();
		for (const server of servers) {
			server.close();
		}

		store.close();
		writeFileSync(recordUrl, `${lines.join('\n')}\n`);
		// Ends also what still waits, such as callers of requests that are never answered.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(status);
	};

	const timer = setTimeout(() => {
		record('not run: it takes too long');
		end();
	}, maxMs);
	try {
		record(`disruption: ${hasTrouble ? 'yes' : 'no'}`);
		await store.listen();
		store.put('op', 'config', configuration(7, service));
		for (const server of servers) {
			await server.listen();
			store.put('servers', server.id, server.entry(service));
		}

		gateway = await Gateway.start(store.address);
		const isBroken = await play({gateway, servers, store, sockets, record});
		const runs = servers.map(({id, runs: {length}}) => `${id} ${length}`);
		record(`requests run by servers: ${runs.join(', ')}`);
		status = isBroken ? broken : held;
		record(isBroken ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		record(`not run: ${String(error)}`);
	}

	clearTimeout(timer);
	await end();
}
