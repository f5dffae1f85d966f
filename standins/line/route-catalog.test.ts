import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, constantFrom, property, record,
} from 'fast-check';
import {rowFormats} from '../../platform/row-formats.js';
import {MemoryRowStore} from './memory-row-store.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {RestoreWatch} from '../../src/common/store/restore-watch.js';
import {restoreDefaults} from '../../src/common/store/constants.js';
import {RecordingLog, silentMetrics} from '../../src/common/testing/observers.js';
import {VirtualClock} from '../../src/common/testing/virtual-clock.js';
import {catalogDefaults} from '../../src/common/catalog/constants.js';
import {RouteCatalog} from '../../src/common/catalog/route-catalog.js';

function createCatalog(): RouteCatalog {
	const clock = new VirtualClock();
	const log = new RecordingLog();
	const store = new MemoryRowStore(clock);
	return new RouteCatalog({
		clock, log, store, provingStore: store, random: new SeededRandom(1), keyRevocationMs: undefined, options: catalogDefaults,
		restores: new RestoreWatch({
			clock, log, metrics: silentMetrics, options: restoreDefaults,
		}),
	}, rowFormats);
}

/** A catalog with the configuration of a row, as the operator writes it or as nodes pass it on. */
function catalogOf(value: string): RouteCatalog {
	const catalog = createCatalog();
	catalog.applyRow({
		table: rowFormats.configurationTable, key: rowFormats.configurationKey, value, version: 1,
	});
	return catalog;
}

const anyRoute = record({host: constantFrom('one', 'two'), service: constantFrom('a', 'b', 'c')});
const anyOrganisation = record({
	name: constantFrom('shop', 'gang'), 'api-keys': array(constantFrom('k1', 'k2', 'k3'), {maxLength: 2}), 'rate-per-s': constantFrom(1, 2, 3),
});

describe('RouteCatalog', () => {
	// Guards against nodes that resolve a name or a key that stands twice in different ways.
	it('takes the last entry of a database, a key and an organisation, on every node', () => {
		assert(property(array(anyRoute, {maxLength: 5}), array(anyOrganisation, {maxLength: 4}), (routes, tenants) => {
			const value = JSON.stringify({
				version: 1, tenants, routes: routes.map(route => ({
					...route, name: 'r', kind: 'primary', 'timeout-ms': 100,
				})),
			});
			for (const catalog of [catalogOf(value), catalogOf(rowFormats.redactKeys(value))]) {
				for (const database of ['one', 'two']) {
					expect(catalog.route(database)?.service).toEqual(routes.findLast(({host}) => host === database)?.service);
				}

				for (const key of ['k1', 'k2', 'k3'] as const) {
					const holder = tenants.findLast(tenant => tenant['api-keys'].includes(key));
					expect(catalog.organisations?.holder(catalog.digestOf(key))?.name).toEqual(holder?.name);
				}

				for (const name of ['shop', 'gang']) {
					expect(catalog.organisations?.findByName(name)?.usageLimit?.perS).toEqual(tenants.findLast(tenant => tenant.name === name)?.['rate-per-s']);
				}
			}
		}), {seed: 58, numRuns: 200});
	});
});
