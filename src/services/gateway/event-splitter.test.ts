import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {expect} from 'earl';
import {EventSplitter} from './event-splitter.js';

// Guards against an incomplete event that reaches the caller when an endpoint stops within it, wherever the network splits the stream.
test('only complete events are returned, however the bytes arrive', () => {
	const text =
		'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n:note\n\nid: 3\ndata: ';
	for (let size = 1; size <= text.length; size++) {
		const splitter = new EventSplitter();
		const events = [];
		for (let start = 0; start < text.length; start += size) {
			const chunk = Buffer.from(text.slice(start, start + size));
			events.push(...splitter.push(chunk));
		}

		expect(events.map(({id}) => id)).toEqual([1, 2, undefined]);
		expect(Buffer.concat(events.map(({bytes}) => bytes)).toString()).toEqual(
			text.slice(0, text.lastIndexOf('id: 3')),
		);
		expect(splitter.pendingLength).toEqual('id: 3\ndata: '.length);
	}
});
