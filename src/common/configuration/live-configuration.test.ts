import {describe, it} from 'node:test';
import {expect} from 'earl';
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
});
