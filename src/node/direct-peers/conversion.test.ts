import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {PeerNotice} from '../../common/services/services.js';
import {Notice} from '../peers/generated/quetzalstream/direct.js';
import {fromNotice, toNotice} from './conversion.js';

const fence: PeerNotice = {
	kind: 'fence', service: 'svc', term: 3, isFenced: true, holder: 'n1', epoch: 7,
};

describe('a notice of a fence', () => {
	it('names the promoter and its epoch', () => {
		const bytes = Notice.encode(toNotice(fence)).finish();
		expect(fromNotice(Notice.decode(bytes))).toEqual(fence);
	});

	it('of a node that does not name them has an empty holder and epoch zero', () => {
		// Field 4 of Notice, 9 bytes long: service (1) "svc", term (2) 3, is_fenced (3) true.
		const bytes = Uint8Array.from([0x22, 9, 0x0A, 3, 0x73, 0x76, 0x63, 0x10, 3, 0x18, 1]);
		expect(fromNotice(Notice.decode(bytes))).toEqual({...fence, holder: '', epoch: 0});
	});
});
