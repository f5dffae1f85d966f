import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, constantFrom, dictionary, property, record, string,
} from 'fast-check';
import {Emitter} from '../lifecycle/emitter.js';
import {defaultCallerPolicy, defaultEndpointPolicy} from './constants.js';
import {LiveConfiguration, type ModelSource} from './live-configuration.js';
import {documentSchema} from './schema.js';
import {modelOf, sampleDocument} from './testing/fixtures.js';

function modelWith(rules: readonly unknown[]) {
	return modelOf(documentSchema.parse({...sampleDocument(), rules}));
}

const batch = {
	user: 'web', applicationName: 'batch', availabilityZone: 'zone-a', labels: {},
};

describe('LiveConfiguration', () => {
	it('resolves policies again with each version, and caches them up to the limit', () => {
		const changed = new Emitter<number>();
		const source = {version: 0, model: modelWith([]), onChange: changed.event} satisfies ModelSource;
		const live = new LiveConfiguration(source, 2);
		const seen: number[] = [];
		live.onChange(version => {
			seen.push(version, live.callerPolicy(batch, 'stock').priority);
		});
		expect([live.callerPolicy(batch, 'stock'), live.endpointPolicy('absent')]).toEqual([defaultCallerPolicy, defaultEndpointPolicy]);
		source.version = 1;
		source.model = modelWith([{name: 'r', selector: {callers: 'application=batch'}, effect: {kind: 'callerLimit', priority: 7}}]);
		changed.fire(1);
		expect(seen).toEqual([1, 7]);
		for (const user of ['a', 'b', 'c']) {
			live.callerPolicy({...batch, user}, 'stock');
		}

		expect(live.callerPolicy(batch, 'stock').priority).toEqual(7);
		expect(live.callerPolicy({...batch, applicationName: 'other'}, 'stock').priority).toEqual(defaultCallerPolicy.priority);
		expect(live.group('stock')?.endpoints.map(({name}) => name)).toEqual(['stock-a', 'stock-b', 'stock-c']);
		live.dispose();
	});

	// Guards against the policy of another caller: callers choose their application names.
	it('gives no caller the cached policy of another one, whatever their names hold', () => {
		const model = modelWith([
			{name: 'application', selector: {callers: 'application=x'}, effect: {kind: 'callerLimit', priority: 7}},
			{name: 'label', selector: {callers: 'shop=y'}, effect: {kind: 'callerLimit', maximumInProgress: 3}},
		]);
		const create = (): LiveConfiguration => new LiveConfiguration({version: 0, model, onChange: new Emitter<number>().event});
		const anyName = array(constantFrom('x', 'y', '\n', '[]', '[["shop","y"]]', ':', '1'), {maxLength: 4}).map(parts => parts.join(''));
		const anyCaller = record({
			user: anyName, applicationName: anyName, availabilityZone: constantFrom('zone-a', 'zone-b'), labels: dictionary(constantFrom('shop', 'x'), string({maxLength: 1}), {maxKeys: 2}),
		});
		const close = [
			[{...batch, applicationName: 'x', user: 'y\nz'}, {...batch, applicationName: 'x\ny', user: 'z'}],
			[{...batch, user: 'a', labels: {shop: 'y'}}, {...batch, user: 'a\n[["shop","y"]]'}],
		];
		assert(property(array(anyCaller, {maxLength: 20}), callers => {
			const live = create();
			for (const caller of callers) {
				expect(live.callerPolicy(caller, 'stock')).toEqual(create().callerPolicy(caller, 'stock'));
			}
		}), {seed: 58, numRuns: 200, examples: close.map(callers => [callers])});
	});
});
