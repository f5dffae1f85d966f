import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {metrics} from '../../common/observability/metric-names.js';
import {tableRows} from '../../common/testing/markdown-tables.js';
import {exportedName} from './prom-metrics.js';

type Definition = {readonly kind: string; readonly labels?: readonly string[]};

describe('docs/METRICS.md', () => {
	it('has every metric with its kind and labels, and no other', () => {
		const rows = tableRows(readFileSync('docs/METRICS.md', 'utf8')).filter(([name]) => name.startsWith('`'));
		const documented = rows.map(([name, kind, labels]) => `${name} ${kind} ${labels}`.trimEnd());
		const defined = Object.entries<Definition>(metrics).map(([name, {kind, labels = []}]) =>
			`\`${exportedName(name)}\` ${kind} ${labels.map(label => `\`${label}\``).join(', ')}`.trimEnd());
		expect(documented.toSorted()).toEqual(defined.toSorted());
		expect(rows.filter(row => row.at(-1) === '')).toEqual([]);
	});
});
