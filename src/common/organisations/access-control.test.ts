import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {RouteCatalog} from '../catalog/route-catalog.js';
import {AccessControl} from './access-control.js';
import {Organisations} from './organisations.js';

describe('AccessControl', () => {
	// Guards against an organisation that shares slots and its place in queues with callers without a key, by the choice of its name.
	it('gives callers without an organisation a name that no organisation has', () => {
		const organisations = new Organisations(['anonymous', 'undefined', '-'].map(name => ({name, keyDigests: [`key of ${name}`], usageLimit: undefined})));
		const catalog: Pick<RouteCatalog, 'organisations' | 'digestOf'> = {organisations, digestOf: key => `key of ${key}`};
		const access = new AccessControl(catalog as RouteCatalog); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the rest is not used
		const unknown = access.nameOf(access.createCredential('someone'));
		expect(organisations.findByName(unknown)).toEqual(undefined);
		expect(access.nameOf(access.createCredential('anonymous'))).toEqual('anonymous');
		expect(unknown).toEqual('');
	});
});
