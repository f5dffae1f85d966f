/**
 * A whole group of instances in one process on a virtual clock, for tests.
 */
import {makeRandom} from '../make-random.js';
import {hasReached, type LogPosition} from '../../../src/common/positions/log-position.js';
import {VirtualClock} from '../../../src/common/testing/virtual-clock.js';
import {instanceDefaults} from '../constants.js';
import {Instance} from '../instance.js';
import type {
	Change, InstanceOptions, ReplicationConnector, TableDefinition,
} from '../types.js';

/** Simulated latency of a replication message. */
export const linkDelayMs = 2;

/** A table with only a key column, for tests that append changes without SQL. */
export const keysTable: TableDefinition = {
	name: 'keys', columns: [{name: 'key', type: 'text', isRequired: true}], keyColumns: [0],
};

/** The change that stores one key in `keysTable`. */
export function putKey(key: string): Change {
	return {
		kind: 'put', table: keysTable.name, key, row: [key],
	};
}

/** Instances that reach each other by name; the first one is the primary of term 1. */
export class InProcessGroup {
	readonly clock = new VirtualClock();
	readonly instances = new Map<string, Instance>();
	private readonly _options: Partial<InstanceOptions>;
	private _seed = 1;

	constructor(names: readonly string[], options: Partial<InstanceOptions> = {}) {
		this._options = options;
		for (const name of names) {
			this.instances.set(name, this._make(name, {start: name === names[0] ? 'primary' : 'replica', initialPrimary: {host: names[0], port: 0}}));
		}

		for (const instance of this.instances.values()) {
			instance.start();
		}
	}

	get(name: string): Instance {
		const instance = this.instances.get(name);
		if (!instance) {
			throw new Error(`no instance ${name}`);
		}

		return instance;
	}

	/** Disposes an instance and starts it again with only its term promise. */
	restart(name: string): Instance {
		const previous = this.get(name);
		const {promisedTerm, claimId} = previous.state;
		previous.dispose();
		const instance = this._make(name, {start: 'restart', promise: {term: promisedTerm, claimId}});
		this.instances.set(name, instance);
		instance.start();
		return instance;
	}

	/** Whether a majority has received a position and ends in the term of that position. */
	isConfirmed(position: LogPosition): boolean {
		const holders = [...this.instances.values()].filter(({received}) => received.term === position.term && hasReached(received, position));
		return holders.length * 2 > this.instances.size;
	}

	dispose(): void {
		for (const instance of this.instances.values()) {
			instance.dispose();
		}
	}

	private _make(name: string, options: Pick<InstanceOptions, 'start' | 'promise' | 'initialPrimary'>): Instance {
		this._seed += 1;
		return new Instance({
			...instanceDefaults, ...this._options, ...options, name,
		}, this.clock, makeRandom(this._seed), this._connector());
	}

	private _connector(): ReplicationConnector {
		return {
			connect: (primary, request, receiver) => {
				let isOpen = true;
				const afterLinkDelay = (action: () => void) => this.clock.setTimer(linkDelayMs, () => {
					if (isOpen) {
						action();
					}
				});
				let feed: {dispose(): void} | undefined;
				afterLinkDelay(() => {
					feed = this.get(primary.host).serve(request, {
						push(message) {
							afterLinkDelay(() => {
								receiver.receive(message);
							});
						},
						end(reason) {
							afterLinkDelay(() => {
								receiver.onEnd(reason);
							});
						},
					});
				});
				return {
					dispose() {
						isOpen = false;
						feed?.dispose();
					},
				};
			},
		};
	}
}
