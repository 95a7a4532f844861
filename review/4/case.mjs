/* eslint camelcase: ["error", {"properties": "never"}] -- Settings and messages use snake_case. */
import {call} from '../lib/caller.mjs';
import {CannotRun, delay, runCase} from '../lib/deployment.mjs';
import {Server} from '../lib/server.mjs';

const host = 'bookings.example';
const revokedKey = 'n2ctnfzs989anu6wsjnb';
const validKey = 'q7dmwkzr412bxe9hvtcy';

/** Key that no configuration holds. */
const unknownKey = 'zzzzzzzzzzzzzzzzzzzz';

/** `bounds.revoke_ms` of the deployment. */
const revokeMs = 5000;

/** Time from the acknowledgement until requests are sent again, and how long they are sent, in milliseconds. */
const pauseMs = 5500;
const playedMs = 3000;

/** Time between two requests, in milliseconds. */
const intervalMs = 100;

function configuration(version, tenants) {
	return {
		version,
		routes: [
			{
				name: 'visit-booking',
				hostname: host,
				path_prefix: '/visits/',
				type: 'unsafe',
				timeout_ms: 1000,
				slo_ms: 100,
				priority: 2,
				backend: 'booking-app',
				attempts: 2,
			},
		],
		backends: [{name: 'booking-app', max_conns: 110}],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 4_194_304,
			header_timeout_ms: 3000,
			idle_timeout_ms: 15_000,
		},
		tenants,
	};
}

function answer({response, headers}) {
	response.writeHead(200, {...headers, 'Content-Length': 2});
	response.end('{}');
}

await runCase(
	new URL('record.txt', import.meta.url),
	async (deployment, hasTrouble) => {
		const {store} = deployment;
		const leavingTenant = {name: 'hule930', api_keys: [revokedKey]};
		const otherTenant = {name: 'wuny96', api_keys: [validKey]};
		const remaining = hasTrouble ? [] : [otherTenant];
		store.put('op', 'config', configuration(3, [leavingTenant, ...remaining]));
		const server = new Server({
			id: 'i-7f3a91c2',
			service: 'booking-app',
			store,
			capacity: 6,
			run: answer,
		});
		await server.listen(deployment.host(100));
		const gateways = [
			await deployment.startGateway('edge-bole-1', 1),
			await deployment.startGateway('edge-bole-2', 2),
		];
		await delay(2500);

		let requests = 0;
		/** Time at which each request was sent. */
		const sentAt = new Map();
		const send = async (gateway, key) => {
			requests++;
			const requestId = `9c41d07b${String(requests).padStart(8, '0')}`;
			sentAt.set(requestId, performance.now());
			const status = await call(gateway, {
				host,
				path: '/visits/new',
				requestId,
				key,
			});
			const name = key === revokedKey ? 'of the tenant' : 'of nobody';
			deployment.note(
				`request ${requestId} to ${gateway.name}, key ${name}: ${status}`,
			);
			return status;
		};

		const [first] = gateways;
		if (
			(await send(first, revokedKey)) !== 200 ||
			(await send(first, unknownKey)) !== 401
		) {
			throw new CannotRun('keys are not checked');
		}

		store.put('op', 'config', configuration(4, remaining));
		const acknowledgedAt = performance.now();
		deployment.note(
			`version 4 takes the tenant with its key away, ${remaining.length} other tenants remain; acknowledged`,
		);
		await delay(pauseMs);
		const endsAt = performance.now() + playedMs;
		while (performance.now() < endsAt) {
			for (const gateway of gateways) {
				await send(gateway, revokedKey);
				await send(gateway, unknownKey);
			}

			await delay(intervalMs);
		}

		const late = server.runs.filter(
			({requestId}) => sentAt.get(requestId) > acknowledgedAt + revokeMs,
		);
		deployment.note(
			`${late.length} requests ran that were sent over ${revokeMs} ms after their key had been taken away, or with a key that no configuration held`,
		);
		server.end();
		return late.length === 0;
	},
);
