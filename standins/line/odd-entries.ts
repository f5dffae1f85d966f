/**
 * Odd entries that another program may leave in the tables that nodes read.
 */
import {configurationKey, tables} from '../../platform/names.js';
import {nodeTable} from '../../src/common/peering/constants.js';
import {restoreRecordKey} from '../../src/common/peering/restore-record.js';
import {
	nestedArrays, oddKeys, oddRows, oddValues, withField,
} from '../../src/common/testing/odd-json.js';

/** A row as another program writes it. */
export type OddEntry = {
	readonly table: string;
	readonly key: string;
	readonly value: string;
};

/** Of another service than the usual ones: an instance that is registered and never answers is no odd entry. */
const registration = {
	service: 'odd', addr: '127.0.31.250:8080', zone: 'a', version: 'v1', capacity: 3, state: 'draining', 'warmup-left-ms': 0, 'db-role': 'replica', seq: 4,
};

const node = {
	name: 'odd', availabilityZone: 'a', host: '127.0.31.250', port: 7440, incarnation: 'x', cores: 1,
};

const oddAddresses = ['127.0.31.250:0', '127.0.31.250:65536', '127.0.31.250:99999', '127.0.31.250', ':80', 'odd:80', '127.0.31.250:8e1', '127.0.31.9999:80'];

const oddOrganisation = withField({name: 'shop', 'api-keys': ['key']}, 'note', nestedArrays());

/** Registrations of instances that cannot be used, each under its own key. */
export const oddRegistrations: readonly OddEntry[] = [
	...oddRows,
	...oddAddresses.map(address => JSON.stringify({...registration, addr: address})),
	...Object.keys(registration).flatMap(field => oddValues.map(text => withField(registration, field, text))),
].map((value, index) => ({table: tables.instances, key: `odd-${index}`, value}));

/** Registrations of instances under keys of any text. */
export const oddlyNamedRegistrations: readonly OddEntry[] = oddKeys.map(key => ({table: tables.instances, key, value: '{"odd":1}'}));

/** Registrations of nodes that cannot be used, and the restore record. */
export const oddNodes: readonly OddEntry[] = [
	...oddRows.map((value, index) => ({key: `odd-${index}`, value})),
	...oddRows.map(value => ({key: restoreRecordKey, value})),
	...oddKeys.map(key => ({key, value: '{"odd":1}'})),
	...Object.keys(node).flatMap(field => oddValues.map((text, index) => ({key: `odd-${field}-${index}`, value: withField(node, field, text)}))),
].map(row => ({table: nodeTable, ...row}));

/** Configurations that cannot be used as a whole, and rows beside the configuration; none has a version that is in force after them. */
export const oddConfigurations: readonly OddEntry[] = [
	...oddRows.map(value => ({key: configurationKey, value})),
	...oddRows.map((value, index) => ({key: `odd-${index}`, value})),
	// A configuration with that possible version would be in force.
	...oddValues.filter(text => text !== '2147483648').map(text => ({key: configurationKey, value: withField({version: 0, routes: []}, 'version', text)})),
	...['routes', 'tenants'].flatMap(field => oddValues.map(text => ({key: configurationKey, value: withField({version: 0, routes: []}, field, text)}))),
	{key: configurationKey, value: `{"version":0,"routes":[],"tenants":[${oddOrganisation}]}`},
	{key: configurationKey, value: withField({version: 0, routes: [], tenants: []}, 'note', nestedArrays())},
].map(row => ({table: tables.operator, ...row}));
