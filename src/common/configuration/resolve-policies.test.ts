import {describe, it} from 'node:test';
import {expect} from 'earl';
import {compileRules} from './compiled-rules.js';
import {defaultCallerPolicy} from './constants.js';
import {explain} from './explain.js';
import {formatLabelSelector, matchesLabels, parseLabelSelector} from './label-selector.js';
import {toDocument} from './model.js';
import {parseWith} from './problems.js';
import {resolveCallerPolicy, resolveEndpointPolicies} from './resolve-policies.js';
import {documentSchema, type Rule} from './schema.js';
import {modelOf, sampleDocument} from './testing/fixtures.js';
import {validateModel} from './validate-model.js';

function modelWith(rules: readonly unknown[]) {
	return modelOf(documentSchema.parse({...sampleDocument(), rules}));
}

const web = {
	user: 'web', applicationName: 'app', availabilityZone: 'zone-a', labels: {},
};

describe('label selectors', () => {
	const labels = {zone: 'bkk-1', tier: 'a', empty: ''};
	const cases: ReadonlyArray<[text: string, isMatching: boolean, canonical?: string]> = [
		['zone=bkk-1,tier in (a,b),!old', true],
		['zone == bkk-2', false, 'zone=bkk-2'],
		['tier!=a', false, 'tier notin (a)'],
		['tier notin ( b , c )', true, 'tier notin (b,c)'],
		['absent notin (b)', true],
		['absent in (b)', false],
		['tier', true],
		['!tier', false],
		['empty=', true],
		['constructor', false],
	];
	for (const [text, isMatching, canonical = text] of cases) {
		it(`${text} ${isMatching ? 'matches' : 'does not match'}`, () => {
			const selector = parseLabelSelector(text).unsafeCoerce();
			expect(matchesLabels(selector, labels)).toEqual(isMatching);
			expect(formatLabelSelector(selector)).toEqual(canonical);
		});
	}

	for (const text of ['', 'a=b,', 'a in ()x', 'a = b c', '-a', 'a in (b', `a=${'x'.repeat(5000)}`]) {
		it(`refuses ${text.slice(0, 20)}`, () => {
			expect(parseLabelSelector(text).isLeft()).toEqual(true);
		});
	}
});

describe('resolution order', () => {
	const limit = (name: string, maximumInProgress: number, rest: Partial<Rule> | Record<string, unknown> = {}) => ({
		name, effect: {kind: 'callerLimit', maximumInProgress}, ...rest,
	});
	const cases: ReadonlyArray<[title: string, rules: readonly unknown[], expected: number]> = [
		['default without a rule', [], defaultCallerPolicy.maximumInProgress],
		['more conditions before order', [limit('x', 1, {order: 900}), limit('y', 2, {selector: {callers: 'kind=public'}})], 2],
		['higher order before later change', [limit('x', 1, {order: 5, changedIn: 1}), limit('y', 2, {changedIn: 9})], 1],
		['later change before name', [limit('a', 1, {changedIn: 1}), limit('b', 2, {changedIn: 2})], 2],
		['name last', [limit('b', 2, {changedIn: 1}), limit('a', 1, {changedIn: 1})], 1],
		['zone of the caller', [limit('a', 1, {selector: {zones: ['zone-b']}}), limit('b', 2)], 2],
		['labels that a group inherits', [limit('a', 1, {selector: {groups: 'team=sales,name=stock'}}), limit('b', 2)], 1],
		['a rule that does not state the setting is skipped', [{name: 'a', selector: {callers: 'user=web'}, effect: {kind: 'callerLimit', priority: 1}}, limit('b', 2)], 2],
	];
	for (const [title, rules, expected] of cases) {
		it(title, () => {
			const model = modelWith(rules);
			expect(resolveCallerPolicy(model, compileRules(model), web, 'stock').maximumInProgress).toEqual(expected);
		});
	}

	it('lets a more specific rule remove the limit on the age of reads', () => {
		const model = modelWith([
			{name: 'all', effect: {kind: 'readRouting', maximumAgeMs: 100}},
			{name: 'web', selector: {callers: 'user=web'}, effect: {kind: 'readRouting', maximumAgeMs: 'unbounded'}},
		]);
		expect(resolveCallerPolicy(model, compileRules(model), web, 'stock').maximumAgeMs).toEqual(undefined);
	});

	it('orders at most one endpoint of a group to be primary, by preference', () => {
		const model = modelWith([
			{name: 'zone-a', selector: {zones: ['zone-a']}, effect: {kind: 'orderPrimary'}},
			{name: 'fast', selector: {endpoints: 'disk=fast,group=stock'}, effect: {kind: 'orderPrimary'}},
			{name: 'prefer-b', selector: {zones: ['zone-b']}, effect: {kind: 'primaryPreference', weight: 5}},
			{name: 'drain-c', selector: {zones: ['zone-c']}, effect: {kind: 'drain'}},
			{name: 'keep', selector: {endpoints: 'name=orders-c', groups: 'name=orders'}, effect: {kind: 'drain', isDraining: false}},
		]);
		const policies = resolveEndpointPolicies(model, compileRules(model));
		const ordered = [...policies].filter(([, policy]) => policy.isOrderedPrimary).map(([name]) => name);
		expect(ordered.toSorted()).toEqual(['orders-a', 'stock-b']);
		const draining = [...policies].filter(([, policy]) => policy.isDraining).map(([name]) => name);
		expect(draining).toEqual(['stock-c']);
	});
});

describe('explain', () => {
	it('lists every rule that applies, the winner, and the criterion by which the others lost', () => {
		const model = modelWith([
			{name: 'all', effect: {kind: 'readRouting', reads: 'replicas'}, changedIn: 1},
			{name: 'till', selector: {callers: 'kind=counter'}, effect: {kind: 'readRouting', reads: 'primary'}},
			{
				name: 'public', selector: {callers: 'kind=public'}, effect: {kind: 'readRouting', reads: 'primary'}, changedIn: 2,
			},
			{name: 'drain-a', selector: {zones: ['zone-a']}, effect: {kind: 'drain'}},
		]);
		const explanation = explain(7, model, {caller: web, group: 'stock', access: 'read'}).unsafeCoerce();
		const reads = explanation.settings.find(({setting}) => setting === 'reads');
		expect(reads?.winner).toEqual('public');
		expect(reads?.candidates.map(({rule, lostBy}) => [rule, lostBy])).toEqual([['public', undefined], ['all', 'moreSpecific']]);
		expect(explanation.summary).toEqual(['Reads of stock go to its primary, by rule "public".']);
		expect(explanation.endpoints.filter(({mayServe}) => !mayServe).map(({endpoint}) => endpoint)).toEqual(['stock-a']);
		expect(explain(7, model, {caller: web, group: 'absent', access: 'write'}).isLeft()).toEqual(true);
	});
});

describe('schema', () => {
	const endpoint = {
		name: 'e', availabilityZone: 'z', host: '10.0.0.1', port: 1,
	};
	const withEndpoint = (changes: Record<string, unknown>) => ({services: [{name: 's', groups: [{name: 'g', endpoints: [{...endpoint, ...changes}]}]}]});
	const withRule = (rule: Record<string, unknown>) => ({rules: [{name: 'r', ...rule}]});
	const cases: ReadonlyArray<[input: unknown, path: string, expected: RegExp]> = [
		[withEndpoint({host: 'db.example'}), '$.services[0].groups[0].endpoints[0].host', /IP address/v],
		[withEndpoint({port: 70_000}), '$.services[0].groups[0].endpoints[0].port', /65535/v],
		[withEndpoint({labels: {'a b': 'x'}}), '$.services[0].groups[0].endpoints[0].labels.a b', /letters/v],
		[withRule({effect: {kind: 'deadline', deadlineMs: '5'}}), '$.rules[0].effect.deadlineMs', /number/v],
		[withRule({effect: {kind: 'sleep'}}), '$.rules[0].effect.kind', /Expected 'readRouting'/v],
		[withRule({selector: {callers: 'a = b c'}, effect: {kind: 'drain'}}), '$.rules[0].selector.callers', /label=value/v],
		[withRule({selector: {callers: 'a'}, effect: {kind: 'drain'}}), '$.rules[0].selector.callers', /applies to endpoints/v],
		[withRule({efect: 1, effect: {kind: 'drain'}}), '$.rules[0]', /efect/v],
	];
	for (const [input, path, expected] of cases) {
		it(`reports a problem at ${path}`, () => {
			const [problem] = parseWith(documentSchema, input).swap().unsafeCoerce();
			expect(problem?.path).toEqual(path);
			expect(problem?.expected ?? '').toMatchRegex(expected);
		});
	}

	it('refuses references to entries that do not exist, duplicate addresses and reserved labels', () => {
		const model = modelWith([
			{name: 'r', selector: {endpoints: 'name=stock-x', zones: ['zone-x'], groups: 'service in (shop,cellar)'}, effect: {kind: 'drain'}},
		]);
		const endpoints = new Map(model.endpoint);
		endpoints.set('odd', {
			...model.endpoint.get('stock-a')!, name: 'odd', group: 'absent', labels: {zone: 'x'},
		});
		const paths = validateModel({...model, endpoint: endpoints}).map(({path}) => path);
		expect(paths).toEqual([
			'$.endpoints["odd"].group',
			'$.endpoints["odd"].port',
			'$.endpoints["odd"].labels.zone',
			'$.rules["r"].selector.endpoints',
			'$.rules["r"].selector.groups',
			'$.rules["r"].selector.zones',
		]);
	});

	it('converts a document to a model and back without loss', () => {
		const document = toDocument(modelOf(sampleDocument()));
		expect(toDocument(modelOf(documentSchema.parse(structuredClone(document))))).toEqual(document);
	});
});
