/**
 * The platform as one process of the world reaches it: an answer that comes while the
 * process is frozen waits, and one that comes after its end is never seen.
 */
import type {HostList, Objects, Table} from '../../src/common/services/services.js';
import type {SimulatedProcess} from './simulated-process.js';

/** The services of the platform that a node uses. */
export type PlatformServices = {
	readonly table: Table;
	readonly objects: Objects;
	readonly hostList: HostList;
};

/** Delivers every answer of the platform within a process. */
export function platformFor(process: SimulatedProcess, {table, objects, hostList}: PlatformServices): PlatformServices {
	const within = async <T>(answer: Promise<T>): Promise<T> => new Promise((resolve, reject) => {
		answer.then(value => {
			process.run(() => {
				resolve(value);
			});
		}, reject);
	});
	return {
		table: {
			get: async (...parameters) => within(table.get(...parameters)),
			query: async (...parameters) => within(table.query(...parameters)),
			put: async (...parameters) => within(table.put(...parameters)),
			putAll: async (...parameters) => within(table.putAll(...parameters)),
		},
		objects: {
			get: async key => within(objects.get(key)),
			put: async (key, body) => within(objects.put(key, body)),
		},
		hostList: {
			read: async () => within(hostList.read()),
			register: async host => within(hostList.register(host)),
		},
	};
}
