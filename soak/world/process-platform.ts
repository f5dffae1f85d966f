/**
 * The platform as one process of the world reaches it: an answer that arrives while the process is
 * frozen is deferred until it is thawed, and one that arrives after its end is dropped.
 */
import type {HostList, Objects, Table} from '../../src/common/services/services.js';
import type {SimulatedProcess} from './simulated-process.js';

/** The services of the platform that a node uses. */
export type PlatformServices = {
	readonly table: Table;
	readonly objects: Objects;
	readonly hostList: HostList;
};

/** The services of the platform with every answer delivered in a process. */
export function platformWithin(process: SimulatedProcess, {table, objects, hostList}: PlatformServices): PlatformServices {
	const deliver = async <T>(answer: Promise<T>): Promise<T> => new Promise((resolve, reject) => {
		answer.then(value => {
			process.run(() => {
				resolve(value);
			});
		}, reject);
	});
	return {
		table: {
			get: async (...parameters) => deliver(table.get(...parameters)),
			query: async (...parameters) => deliver(table.query(...parameters)),
			put: async (...parameters) => deliver(table.put(...parameters)),
			putAll: async (...parameters) => deliver(table.putAll(...parameters)),
		},
		objects: {
			get: async key => deliver(objects.get(key)),
			put: async (key, body) => deliver(objects.put(key, body)),
		},
		hostList: {
			read: async () => deliver(hostList.read()),
			register: async host => deliver(hostList.register(host)),
		},
	};
}
