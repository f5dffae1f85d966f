import {describe, it} from 'node:test';
import {expect} from 'earl';
import {metrics} from '../../common/observability/metric-names.js';
import {exportedName, PromMetrics} from './prom-metrics.js';

describe('PromMetrics', () => {
	it('exports every metric in snake case with the node\'s labels', async () => {
		const promMetrics = new PromMetrics({node: 'n1'});
		promMetrics.count('invariantViolationsTotal', {invariant: 'slotLimit'});
		promMetrics.count('invariantViolationsTotal', {invariant: 'slotLimit'}, 2);
		const text = await promMetrics.text();
		expect(text.includes('quetzalstream_invariant_violations_total{invariant="slotLimit",node="n1"} 3')).toEqual(true);
		expect(text.includes('quetzalstream_process_cpu_seconds_total')).toEqual(true);
		for (const name of Object.keys(metrics)) {
			expect(text.includes(`# TYPE ${exportedName(name)} `)).toEqual(true);
		}

		expect(await promMetrics.values('invariantViolationsTotal')).toEqual([{value: 3, labels: {invariant: 'slotLimit'}}]);
	});
});
