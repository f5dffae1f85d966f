/**
 * A complete platform in memory, for randomised runs within one process.
 */
import type {
	Clock, Host, Random, TableItem,
} from '../../src/common/services/services.js';
import {FaultInjector, PlatformLimits} from './fault-injector.js';
import {createHostRegistrations, MemoryHostList} from './memory-host-list.js';
import {MemoryObjects, type StoredObject} from './memory-objects.js';
import {MemoryTable} from './memory-table.js';
import {OrderedRows} from './ordered-rows.js';
import {makeInjectedFaults, type InjectedFaults} from './settings.js';
import type {LaggedValues} from './lagged-values.js';

/** One node's access to the platform, with the faults of its own network. */
export type PlatformClient = {
	readonly table: MemoryTable;
	readonly objects: MemoryObjects;
	readonly hostList: MemoryHostList;
	/** Faults of this client alone, such as those of an isolated availability zone. */
	readonly faults: InjectedFaults;
};

/** One platform: its state, its rate limits and the faults that apply to all clients. */
export class MemoryPlatform {
	readonly faults: InjectedFaults;
	readonly limits: PlatformLimits;
	private readonly _clock: Clock;
	private readonly _random: Random;
	private readonly _rows = new OrderedRows<TableItem>();
	private readonly _objects = new Map<string, StoredObject>();
	private readonly _registrations: LaggedValues<Host> = createHostRegistrations();

	constructor(clock: Clock, random: Random, faults: Partial<InjectedFaults> = {}) {
		this._clock = clock;
		this._random = random;
		this.faults = makeInjectedFaults(faults);
		this.limits = new PlatformLimits(clock);
	}

	/** Connects one more client. */
	connect(): PlatformClient {
		const faults = makeInjectedFaults();
		const faultInjector = new FaultInjector(this._clock, this._random, [this.faults, faults], this.limits);
		return {
			table: new MemoryTable(this._clock, faultInjector, this._rows),
			objects: new MemoryObjects(faultInjector, this._objects),
			hostList: new MemoryHostList(this._clock, faultInjector, this.faults, this._registrations),
			faults,
		};
	}
}
