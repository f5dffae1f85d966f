import {describe, it} from 'node:test';
import {expect} from 'earl';
import {metrics} from './metric-names.js';

/** Labels whose values are words of the program, or entries of the platform and of the configuration. */
const boundedLabels: ReadonlySet<string> = new Set(`
	access cause direction during endpoint group invariant kind lane
	manner operation outcome priority progress reason role service source status
`.trim().split(/\s+/v));

describe('metrics', () => {
	// Guards against series without bound: callers choose users, databases, applications and ids of requests.
	it('have no label whose values callers choose', () => {
		const labels = Object.values(metrics).flatMap(metric => 'labels' in metric ? metric.labels : []);
		expect(labels.filter(label => !boundedLabels.has(label))).toEqual([]);
	});
});
