import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Attachment} from './attachment.js';

describe('Attachment', () => {
	it('is held by one home at a time and ends with its control connection', () => {
		const attachment = new Attachment();
		const revoked: string[] = [];
		attachment.onRevoked(home => {
			revoked.push(home);
		});
		const steps: ReadonlyArray<readonly [string, () => unknown, string, readonly string[]]> = [
			['first home', () => attachment.attach('one', false, 1), 'one', []],
			['second without force', () => attachment.attach('two', false, 2), 'one', []],
			['the same on another connection', () => attachment.attach('one', false, 3), 'one', []],
			['end of the former connection', () => {
				attachment.unbind(1);
			}, 'one', []],
			['detach of another', () => attachment.detach('two'), 'one', []],
			['second with force', () => attachment.attach('two', true, 2), 'two', ['one']],
			['end of the first home\'s connection', () => {
				attachment.unbind(3);
			}, 'two', ['one']],
			['end of its connection', () => {
				attachment.unbind(2);
			}, '', ['one', 'two']],
			['attach after that', () => attachment.attach('one', false, 4), 'one', ['one', 'two']],
			['detach', () => attachment.detach('one'), '', ['one', 'two', 'one']],
		];
		for (const [name, act, holder, expectedRevoked] of steps) {
			act();
			expect([name, attachment.holder, revoked]).toEqual([name, holder, [...expectedRevoked]]);
		}
	});
});
