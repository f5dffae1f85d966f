import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Attachment} from './attachment.js';

describe('Attachment', () => {
	it('attaches one home at a time, until the control connection of the home ends', () => {
		const attachment = new Attachment();
		const revoked: string[] = [];
		attachment.onRevoked(home => {
			revoked.push(home);
		});
		const steps: ReadonlyArray<readonly [string, () => unknown, string, readonly string[]]> = [
			['first home', () => attachment.attach('one', false, 1), 'one', []],
			['attach of a second home without force', () => attachment.attach('two', false, 2), 'one', []],
			['attach of the same home on another connection', () => attachment.attach('one', false, 3), 'one', []],
			['end of the previous connection', () => {
				attachment.unbind(1);
			}, 'one', []],
			['detach of another home', () => attachment.detach('two'), 'one', []],
			['attach of the second home with force', () => attachment.attach('two', true, 2), 'two', ['one']],
			['end of the first home\'s connection', () => {
				attachment.unbind(3);
			}, 'two', ['one']],
			['end of the second home\'s connection', () => {
				attachment.unbind(2);
			}, '', ['one', 'two']],
			['attach of the first home after that', () => attachment.attach('one', false, 4), 'one', ['one', 'two']],
			['detach', () => attachment.detach('one'), '', ['one', 'two', 'one']],
		];
		for (const [name, act, holder, expectedRevoked] of steps) {
			act();
			expect([name, attachment.holder, revoked]).toEqual([name, holder, [...expectedRevoked]]);
		}
	});
});
