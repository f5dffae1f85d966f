import {describe, it} from 'node:test';
import {expect} from 'earl';
import {storeVersion} from '../store/store-version.js';
import {nodeTable} from './constants.js';
import {restoreRecordKey} from './restore-record.js';
import {fakePeering} from './testing/peering-fakes.js';

describe('RestoreRecord', () => {
	it('lets a node that starts after a restore settle with one read if the row is there', async () => {
		const {clock, directory, restores, store} = fakePeering();
		store.put(nodeTable, restoreRecordKey, JSON.stringify({era: 1, atMs: 0}));
		restores.note(storeVersion(1, 1));
		await directory.discover();
		await clock.advance(5000);
		expect([restores.isSettled, store.reads.get(nodeTable)]).toEqual([true, 1]);
	});

	it('is written if it is missing', async () => {
		const {clock, directory, restores, store} = fakePeering();
		restores.note(storeVersion(1, 1));
		await directory.discover();
		await clock.advance(5000);
		const read = await store.read(nodeTable, '');
		expect(restores.isRecordedIn(read.unsafeCoerce().rows.find(({key}) => key === restoreRecordKey)?.value)).toEqual(true);
	});
});
