/**
 * Validates the configuration as a whole: every referenced entry exists, no two endpoints share
 * an address, and no label has a reserved name.
 */
import {impliedLabels} from './constants.js';
import {namedValues} from './label-selector.js';
import type {ConfigurationModel} from './model.js';
import type {Problem} from './problems.js';
import {effectSubjects, type Labels, type Rule} from './schema.js';

type Check = (model: ConfigurationModel) => readonly Problem[];

function problem(kind: string, name: string, rest: string, expected: string): Problem {
	return {path: `$.${kind}[${JSON.stringify(name)}].${rest}`, expected};
}

function checkParents(model: ConfigurationModel): readonly Problem[] {
	const problems: Problem[] = [];
	for (const group of model.group.values()) {
		if (!model.service.has(group.service)) {
			problems.push(problem('groups', group.name, 'service', `expected an existing service, but there is no "${group.service}"`));
		}
	}

	for (const endpoint of model.endpoint.values()) {
		if (!model.group.has(endpoint.group)) {
			problems.push(problem('endpoints', endpoint.name, 'group', `expected an existing group, but there is no "${endpoint.group}"`));
		}
	}

	return problems;
}

function checkAddresses(model: ConfigurationModel): readonly Problem[] {
	const problems: Problem[] = [];
	const holders = new Map<string, string>();
	for (const endpoint of model.endpoint.values()) {
		const address = `${endpoint.host} ${endpoint.port}`;
		const holder = holders.get(address);
		if (holder !== undefined) {
			problems.push(problem('endpoints', endpoint.name, 'port', `expected a host and port of its own, but "${holder}" has the same`));
		}

		holders.set(address, endpoint.name);
	}

	return problems;
}

function reservedLabels(kind: string, name: string, labels: Labels, reserved: readonly string[]): readonly Problem[] {
	return reserved
		.filter(label => Object.hasOwn(labels, label))
		.map(label => problem(kind, name, `labels.${label}`, `expected no label "${label}": the name is reserved for a label that is set implicitly`));
}

function checkLabels(model: ConfigurationModel): readonly Problem[] {
	return [
		...[...model.service.values()].flatMap(({name, labels}) => reservedLabels('services', name, labels, impliedLabels.endpoint)),
		...[...model.group.values()].flatMap(({name, labels}) => reservedLabels('groups', name, labels, impliedLabels.endpoint)),
		...[...model.endpoint.values()].flatMap(({name, labels}) => reservedLabels('endpoints', name, labels, impliedLabels.endpoint)),
		...[...model.caller.values()].flatMap(({user, labels}) => reservedLabels('callers', user, labels, impliedLabels.caller)),
	];
}

type Reference = {
	readonly part: string;
	readonly values: readonly string[];
	readonly kind: string;
	has(value: string): boolean;
};

function referencesOf(rule: Rule, model: ConfigurationModel, zones: ReadonlySet<string>): readonly Reference[] {
	const {endpoints = [], groups = [], zones: ownZones = []} = rule.selector;
	const references: Reference[] = [
		{
			part: 'endpoints', values: namedValues(endpoints, 'name'), kind: 'endpoint', has: value => model.endpoint.has(value),
		},
		{
			part: 'endpoints', values: namedValues(endpoints, 'group'), kind: 'group', has: value => model.group.has(value),
		},
		{
			part: 'endpoints', values: namedValues(endpoints, 'service'), kind: 'service', has: value => model.service.has(value),
		},
		{
			part: 'endpoints', values: namedValues(endpoints, 'zone'), kind: 'availability zone', has: value => zones.has(value),
		},
		{
			part: 'groups', values: namedValues(groups, 'name'), kind: 'group', has: value => model.group.has(value),
		},
		{
			part: 'groups', values: namedValues(groups, 'service'), kind: 'service', has: value => model.service.has(value),
		},
	];
	// A zone may have callers but no endpoint, so only rules about endpoints must name zones that have endpoints.
	if (effectSubjects[rule.effect.kind] === 'endpoints') {
		references.push({
			part: 'zones', values: ownZones, kind: 'availability zone', has: value => zones.has(value),
		});
	}

	return references;
}

function checkRules(model: ConfigurationModel): readonly Problem[] {
	const zones = new Set([...model.endpoint.values()].map(endpoint => endpoint.availabilityZone));
	return [...model.rule.values()].flatMap(rule => referencesOf(rule, model, zones).flatMap(({part, values, kind, has}) => values
		.filter(value => !has(value))
		.map(value => problem('rules', rule.name, `selector.${part}`, `expected an existing ${kind}, but there is no "${value}"`))));
}

const checks: readonly Check[] = [checkParents, checkAddresses, checkLabels, checkRules];

/** Lists all problems of a configuration as a whole; empty when it is valid. */
export function validateModel(model: ConfigurationModel): readonly Problem[] {
	return checks.flatMap(check => check(model));
}
