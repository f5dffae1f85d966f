import {describe, it} from 'node:test';
import {expect} from 'earl';
import {LineSystem} from '../../standins/line/processes/line-system.js';
import type {Finding} from '../findings.js';
import {AccessWatch} from './access-watch.js';

/** More operations than any limit of the first organisation allows in one window. */
const tooMany = 500;

describe('AccessWatch', () => {
	function watchOf(runs: ReadonlyArray<{readonly id: string; readonly caller: number; readonly user: string}>): Finding[] {
		const system = new LineSystem();
		const watch = new AccessWatch(system);
		const findings: Finding[] = [];
		for (const {id, caller, user} of runs) {
			watch.recordSent(id, watch.callerOf(caller).organisation, id);
			system.group.instances[0].recordRun(id, user);
		}

		watch.check(finding => {
			findings.push(finding);
		});
		return findings;
	}

	it('finds a statement that ran on a connection of another organisation or of the node itself', () => {
		const found = watchOf([{id: 'a', caller: 0, user: 'org-0'}, {id: 'b', caller: 1, user: 'org-0'}, {id: 'c', caller: 2, user: 'n1'}]);
		expect(found.map(({promise}) => promise)).toEqual(['foreignConnection', 'foreignConnection']);
	});

	it('finds more operations than a low limit allows, and nothing for an organisation with a high limit', () => {
		const ofCaller = (caller: number): Finding[] => watchOf(Array.from({length: tooMany}, (_, index) => ({id: `q${index}`, caller, user: `org-${caller}`})));
		expect(ofCaller(0).map(({promise}) => promise)).toEqual(['usageExceeded']);
		expect(ofCaller(1)).toEqual([]);
	});
});
