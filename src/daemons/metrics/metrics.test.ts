import type {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {test} from 'node:test';
import {expect} from 'earl';
import {Metrics} from './metrics.js';

// Guards against samples that are missing from the packets sent, or sent without their prefix, type or tags.
test('sends counters, gauges and timings as StatsD', async (t) => {
	const receiver = createSocket('udp4');
	t.after(() => receiver.close());
	receiver.bind(0, '127.0.0.1');
	await once(receiver, 'listening');
	const metrics = new Metrics({
		server: {host: '127.0.0.1', port: receiver.address().port},
		prefix: 'router.',
		tags: {instance: 'entry-1'},
	});
	metrics.count('requests', 2, {class: 'staff'});
	metrics.gauge('links', 3);
	metrics.timing('first_token', 12.5, {tier: '0'});
	const received = once(receiver, 'message');
	metrics.dispose();
	const [packet] = (await received) as [Buffer];
	expect(String(packet).trim().split('\n')).toEqual([
		'router.requests:2|c|#instance:entry-1,class:staff',
		'router.links:3|g|#instance:entry-1',
		'router.first_token:12.5|h|#instance:entry-1,tier:0',
	]);
});

// Guards against memory that grows with every new tag value.
test('bounds the number of series in memory', () => {
	const metrics = new Metrics({prefix: '', tags: {}});
	for (let index = 0; index < 10_000; index++) {
		metrics.count('requests', 1, {workspace: String(index)});
	}

	const {counters} = metrics.dump() as {counters: Record<string, number>};
	expect(Object.keys(counters).length < 5000).toEqual(true);
	expect((counters.metric_series_dropped ?? 0) > 0).toEqual(true);
});
