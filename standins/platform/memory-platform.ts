/**
 * A whole platform in memory, for randomised runs inside one process.
 */
import type {
	Clock, Host, Random, TableItem,
} from '../../src/common/services/services.js';
import {FaultGate, PlatformLimits} from './fault-gate.js';
import {createRegistrations, MemoryHostList} from './memory-host-list.js';
import {MemoryObjects, type StoredObject} from './memory-objects.js';
import {MemoryTable} from './memory-table.js';
import {OrderedRows} from './ordered-rows.js';
import {makeFaults, type Faults} from './settings.js';
import type {LaggedValues} from './lagged-values.js';

/** What one node reaches of the platform, with faults of its own network. */
export type PlatformClient = {
	readonly table: MemoryTable;
	readonly objects: MemoryObjects;
	readonly hostList: MemoryHostList;
	/** Faults of this client alone, such as a cut-off availability zone. */
	readonly faults: Faults;
};

/** One platform: its state, its rates and the faults that all clients see. */
export class MemoryPlatform {
	readonly faults: Faults;
	readonly limits: PlatformLimits;
	private readonly _clock: Clock;
	private readonly _random: Random;
	private readonly _rows = new OrderedRows<TableItem>();
	private readonly _objects = new Map<string, StoredObject>();
	private readonly _registrations: LaggedValues<Host> = createRegistrations();

	constructor(clock: Clock, random: Random, faults: Partial<Faults> = {}) {
		this._clock = clock;
		this._random = random;
		this.faults = makeFaults(faults);
		this.limits = new PlatformLimits(clock);
	}

	/** Connects one more client. */
	connect(): PlatformClient {
		const faults = makeFaults();
		const gate = new FaultGate(this._clock, this._random, [this.faults, faults], this.limits);
		return {
			table: new MemoryTable(this._clock, gate, this._rows),
			objects: new MemoryObjects(gate, this._objects),
			hostList: new MemoryHostList(this._clock, gate, this.faults, this._registrations),
			faults,
		};
	}
}
