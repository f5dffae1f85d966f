import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {MemoryRowStore} from '../../../standins/line/memory-row-store.js';
import type {EndpointRegistration, Log, RowFormats} from '../services/services.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {catalogDefaults} from './constants.js';
import {EndpointRegistry} from './endpoint-registry.js';

const registration: EndpointRegistration = {
	id: 'i-1', service: 'svc', availabilityZone: 'a', host: '10.0.0.1', port: 1, slots: 3, isDraining: false, claimsPrimary: true, startedAtMs: undefined, reportNumber: 5,
};

function fieldsOf(value: string): Partial<EndpointRegistration> {
	return JSON.parse(value) as Partial<EndpointRegistration>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the test wrote it
}

/** A row's value is its registration as JSON; any other text cannot be decoded. */
const formats: RowFormats = {
	configurationTable: 'configuration',
	configurationKey: 'key',
	endpointTable: 'endpoints',
	decodeRoutes: () => undefined,
	redactKeys: value => value,
	digestOf: key => key,
	splitReport: () => undefined,
	decodeEndpoint: (key, value) => value.startsWith('{') ? {...registration, id: key, ...fieldsOf(value)} : undefined,
};

const silentLog: Log = {
	event() {
		// The log is not checked.
	},
};

describe('EndpointRegistry', () => {
	let registry: EndpointRegistry;
	let events: string[];
	let returned: string[];
	let version: number;

	function put(key: string, value: Partial<EndpointRegistration> | string | undefined): void {
		version += 1;
		registry.applyRow({
			table: formats.endpointTable, key, version, value: typeof value === 'object' ? JSON.stringify(value) : value,
		});
	}

	beforeEach(() => {
		events = [];
		returned = [];
		version = 0;
		const log: Log = {
			event(name) {
				events.push(name);
			},
		};
		const never = async (): Promise<never> => new Promise(() => undefined); // eslint-disable-line no-promise-executor-return -- no request to the store is expected
		registry = new EndpointRegistry({
			clock: new VirtualClock(), log, store: {read: never, follow: never, write: never}, options: catalogDefaults,
		}, formats);
		registry.onReturn(({id}) => {
			returned.push(id);
		});
	});

	afterEach(() => {
		registry.dispose();
	});

	it('ignores a registration that cannot be decoded, and keeps the others', () => {
		put('i-1', {});
		put('other', 'bytes');
		expect(registry.ofService('svc').map(({id}) => id)).toEqual(['i-1']);
	});

	it('drops an endpoint whose registration was overwritten by another writer, until it registers again', () => {
		put('i-1', {});
		put('i-1', 'bytes');
		expect(registry.endpoint('i-1')).toEqual(undefined);
		put('i-1', {reportNumber: 6});
		expect(registry.endpoint('i-1')?.port).toEqual(1);
		expect(returned).toEqual([]);
	});

	it('logs a registration that cannot be decoded once', () => {
		for (let count = 0; count < 5; count++) {
			put('i-1', `bytes ${count}`);
		}

		expect(events.filter(name => name === 'registrationUnreadable').length).toEqual(1);
		registry.applySnapshot([]);
		put('i-1', 'bytes');
		expect(events.filter(name => name === 'registrationUnreadable').length).toEqual(2);
	});

	it('detects a restart by a later start time', () => {
		put('i-1', {startedAtMs: 1000});
		put('i-1', {startedAtMs: 2000, reportNumber: 9});
		expect(returned).toEqual(['i-1']);
		expect(registry.endpoint('i-1')?.incarnation).toEqual(1);
	});

	it('detects a restart by a lower report number if no start time is reported', () => {
		put('i-1', {});
		put('i-1', {reportNumber: 1});
		expect(returned).toEqual(['i-1']);
	});

	it('does not take a lower report number as a restart if the start time is the same', () => {
		put('i-1', {startedAtMs: 1000});
		put('i-1', {startedAtMs: 1000, reportNumber: 1});
		expect(returned).toEqual([]);
	});

	it('reports endpoints that appear after the first read as returned, and not those of the first read', () => {
		const row = (key: string) => ({
			table: formats.endpointTable, key, version: 1, value: '{}',
		});
		registry.applySnapshot([row('i-1'), row('i-2')]);
		expect(returned).toEqual([]);
		put('i-3', {});
		expect(returned).toEqual(['i-3']);
		put('i-1', undefined);
		expect(registry.lapsedEndpoints('svc').map(({id}) => id)).toEqual(['i-1']);
		put('i-1', {});
		expect(returned).toEqual(['i-3', 'i-1']);
		expect(registry.lapsedEndpoints('svc')).toEqual([]);
	});

	it('dates a report by the last proof that it was not there, and not at all if it was there at the first read', async () => {
		const clock = new VirtualClock();
		const store = new MemoryRowStore(clock);
		const followed = new EndpointRegistry({
			clock, log: silentLog, store, options: catalogDefaults,
		}, formats);
		const put = (reportNumber: number): void => {
			store.put(formats.endpointTable, 'i-1', JSON.stringify({reportNumber}));
		};

		put(1);
		followed.start();
		await clock.advance(500);
		store.put(formats.endpointTable, 'i-2', '{}');
		await clock.advance(1);
		expect(['i-1', 'i-2'].map(id => followed.hasReportedWithin(id, 60_000))).toEqual([false, true]);
		put(2);
		await clock.advance(1000);
		put(3);
		await clock.advance(100);
		// The request that brought report 2 was sent after 0.5 s, and proves that report 3 was written after that.
		expect([followed.hasReportedWithin('i-1', 1000), followed.hasReportedWithin('i-1', 1200)]).toEqual([false, true]);
		store.isUnavailable = true;
		await clock.advance(5000);
		expect(followed.hasReportedWithin('i-1', 5000)).toEqual(false);
		// A restore brings an earlier row back under a new version.
		store.restore(store.takeSnapshot());
		store.isUnavailable = false;
		await clock.advance(1000);
		expect([followed.endpoint('i-1')?.id, followed.hasReportedWithin('i-1', 60_000)]).toEqual(['i-1', false]);
		put(4);
		await clock.advance(100);
		expect(followed.hasReportedWithin('i-1', 2000)).toEqual(true);
		followed.dispose();
	});

	it('keeps an endpoint whose registration lapsed while the store was unavailable, until it registers again', async () => {
		const clock = new VirtualClock();
		const store = new MemoryRowStore(clock);
		const followed = new EndpointRegistry({
			clock, log: silentLog, store, options: catalogDefaults,
		}, formats);
		store.put(formats.endpointTable, 'i-1', '{}');
		followed.start();
		await clock.advance(100);
		store.isUnavailable = true;
		await clock.advance(4000);
		store.put(formats.endpointTable, 'i-1', undefined);
		store.isUnavailable = false;
		await clock.advance(1500);
		expect(followed.endpoint('i-1')?.id).toEqual('i-1');
		store.put(formats.endpointTable, 'i-1', '{}');
		await clock.advance(5000);
		expect(followed.endpoint('i-1')?.id).toEqual('i-1');
		store.put(formats.endpointTable, 'i-1', undefined);
		await clock.advance(100);
		expect(followed.endpoint('i-1')).toEqual(undefined);
		followed.dispose();
	});

	it('ignores a delayed write of an earlier start', () => {
		put('i-1', {startedAtMs: 2000});
		put('i-1', {startedAtMs: 1000, isDraining: true});
		expect(registry.endpoint('i-1')?.isDraining).toEqual(false);
		expect(returned).toEqual([]);
	});

	it('detects a restart of an endpoint whose registration had lapsed', () => {
		put('i-1', {startedAtMs: 1000});
		put('i-1', undefined);
		put('i-1', {startedAtMs: 2000, reportNumber: 1});
		expect(returned).toEqual(['i-1']);
	});
});
