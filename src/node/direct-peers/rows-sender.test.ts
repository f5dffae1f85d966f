import {describe, it} from 'node:test';
import {expect} from 'earl';
import {rowTransferDefaults} from '../../common/load/constants.js';
import type {StoredRows} from '../../common/services/services.js';
import {silentMetrics} from '../../common/testing/observers.js';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import type {RowsPart} from '../peers/generated/quetzalstream/direct.js';
import {LinkAnswer} from '../peers/generated/quetzalstream/direct.js';
import {RowsSender} from './rows-sender.js';

const {
	acknowledgementTimeoutMs, concurrentTransfers, partTimeoutMs, unacknowledgedParts,
} = rowTransferDefaults;

/** A stream that records what is written to it; while `isFull`, it accepts nothing without buffering. */
class FakeStream {
	readonly parts: RowsPart[] = [];
	isFull = false;
	private _onDrain: (() => void) | undefined;

	get writable(): boolean {
		return true;
	}

	get writableNeedDrain(): boolean {
		return this.isFull;
	}

	write(encoded: Uint8Array): boolean {
		const {answer} = LinkAnswer.decode(encoded);
		if (answer?.$case === 'rowsPart') {
			this.parts.push(answer.value);
		}

		return !this.isFull;
	}

	once(_event: 'drain', listener: () => void): void {
		this._onDrain = listener;
	}

	drain(): void {
		this.isFull = false;
		this._onDrain?.();
	}
}

function random(length: number): string {
	let state = 1;
	return Array.from({length}, () => {
		state = (state * 48_271) % 2_147_483_647;
		return String.fromCodePoint(33 + (state % 90));
	}).join('');
}

const rows: StoredRows = {
	rows: [{
		table: 't', key: 'k', value: random(100_000), version: 5,
	}], version: 5, storeNowMs: 0, isHistoryGone: false, provedAfterMs: 0,
};

function setUp(): {clock: VirtualClock; sender: RowsSender} {
	const clock = new VirtualClock();
	return {clock, sender: new RowsSender({clock, metrics: silentMetrics})};
}

describe('RowsSender', () => {
	it('writes only as many parts as the stream accepts without buffering', () => {
		const {sender} = setUp();
		const stream = new FakeStream();
		stream.isFull = true;
		sender.send(stream, 1, 't', rows);
		expect(stream.parts.length).toEqual(0);
		stream.drain();
		expect(stream.parts.map(({index}) => index)).toEqual([0, 1]);
		sender.dispose();
	});

	it('sends few transfers at a time, and tells the others often enough that they do not time out', async () => {
		// Guards against 29 nodes of a zone that share a slow link, get a part every second and give up.
		const {clock, sender} = setUp();
		const streams = Array.from({length: concurrentTransfers + 2}, () => new FakeStream());
		for (const stream of streams) {
			sender.send(stream, 1, 't', rows);
		}

		expect(streams.map(({parts}) => parts.filter(({count}) => count > 0).length)).toEqual(streams.map((_, index) => index < concurrentTransfers ? unacknowledgedParts : 0));
		const last = streams.at(-1)!;
		for (let elapsedMs = 0; elapsedMs < 3000; elapsedMs += partTimeoutMs / 2) {
			const before = last.parts.length;
			for (const [index, stream] of streams.slice(0, concurrentTransfers).entries()) {
				sender.acknowledge(stream, 1, Math.max(1, index));
			}

			await clock.advance(partTimeoutMs / 2);
			expect(last.parts.length > before).toEqual(true);
		}

		sender.dispose();
	});

	it('sends the same rows once to a node that asked twice', () => {
		// Guards against a second transfer for a renewal of a proof that was sent while the request for changes waited.
		const {sender} = setUp();
		const stream = new FakeStream();
		sender.send(stream, 1, 't', rows);
		sender.send(stream, 2, 't', rows);
		expect(stream.parts.map(({count, sameAs}) => [count > 0, sameAs])).toEqual([[true, 0], [true, 0], [false, 1]]);
		sender.dispose();
	});

	it('gives the turn of a receiver that acknowledges nothing, or whose link is lost, to the next one', async () => {
		const {clock, sender} = setUp();
		const streams = Array.from({length: concurrentTransfers * 2}, () => new FakeStream());
		for (const stream of streams) {
			sender.send(stream, 1, 't', rows);
		}

		sender.forget(streams[0]);
		const hasBegun = (stream: FakeStream): boolean => stream.parts.some(({count}) => count > 0);
		expect(streams.map(stream => hasBegun(stream)).lastIndexOf(true)).toEqual(concurrentTransfers);
		await clock.advance(acknowledgementTimeoutMs + rowTransferDefaults.waitNoticeMs);
		expect(streams.every(stream => hasBegun(stream))).toEqual(true);
		await clock.advance(acknowledgementTimeoutMs * 2);
		expect(clock.pendingTimers).toEqual(0);
	});

	it('leaves small answers to be sent whole', () => {
		const {sender} = setUp();
		expect(sender.send(new FakeStream(), 1, 't', {...rows, rows: []})).toEqual(false);
	});
});
