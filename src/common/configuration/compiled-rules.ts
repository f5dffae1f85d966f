/**
 * Sorts the rules into the one order that resolves overlaps: more conditions first, then the
 * higher `order`, then the later change, then the name.
 */
import type {CallerDescription} from '../services/services.js';
import {matchesLabels} from './label-selector.js';
import type {ConfigurationModel} from './model.js';
import {
	effectSubjects, type EndpointEntry, type Labels, type Rule,
} from './schema.js';

/** Number of conditions in a rule's selector; a list of zones counts as one. */
export function specificityOf(rule: Rule): number {
	const {endpoints = [], callers = [], groups = [], zones} = rule.selector;
	return endpoints.length + callers.length + groups.length + (zones === undefined ? 0 : 1);
}

type Criterion = {
	readonly name: 'moreSpecific' | 'higherOrder' | 'laterChange' | 'name';
	/** Negative when the first rule takes precedence, zero when the criterion does not tell the two apart. */
	compare(a: Rule, b: Rule): number;
};

const criteria: readonly Criterion[] = [
	{name: 'moreSpecific', compare: (a, b) => specificityOf(b) - specificityOf(a)},
	{name: 'higherOrder', compare: (a, b) => b.order - a.order},
	{name: 'laterChange', compare: (a, b) => (b.changedIn ?? 0) - (a.changedIn ?? 0)},
	{name: 'name', compare: (a, b) => a.name < b.name ? -1 : 1},
];

/** Why one rule takes precedence over another. */
export type Precedence = Criterion['name'];

/** The first criterion that tells two rules apart. */
export function precedenceOf(winner: Rule, other: Rule): Precedence {
	return criteria.find(criterion => criterion.compare(winner, other) !== 0)?.name ?? 'name';
}

function compareRules(a: Rule, b: Rule): number {
	for (const criterion of criteria) {
		const result = criterion.compare(a, b);
		if (result !== 0) {
			return result;
		}
	}

	return 0;
}

/** Labels of a group for selectors: its own labels override those of its service. */
export function groupLabels(model: ConfigurationModel, name: string): Labels {
	const group = model.group.get(name);
	if (group === undefined) {
		return {name};
	}

	return {
		...model.service.get(group.service)?.labels,
		...group.labels,
		name,
		service: group.service,
	};
}

/** Labels of an endpoint for selectors: its own labels override those of its group, which override those of its service. */
export function endpointLabels(model: ConfigurationModel, endpoint: EndpointEntry): Labels {
	const {name: group, ...inherited} = groupLabels(model, endpoint.group);
	return {
		...inherited,
		...endpoint.labels,
		group: group ?? endpoint.group,
		name: endpoint.name,
		zone: endpoint.availabilityZone,
	};
}

/** Labels of a caller for selectors: those of the configuration override those that the caller brought itself. */
export function callerLabels(model: ConfigurationModel, caller: CallerDescription): Labels {
	return {
		...caller.labels,
		...model.caller.get(caller.user)?.labels,
		user: caller.user,
		zone: caller.availabilityZone,
		application: caller.applicationName,
	};
}

/** Labels that a rule about callers is matched against. */
export type CallerSubject = {
	readonly caller: Labels;
	readonly group: Labels;
};

/** Labels that a rule about endpoints is matched against. */
export type EndpointSubject = {
	readonly endpoint: Labels;
	readonly group: Labels;
};

function matchesZone(rule: Rule, zone: string | undefined): boolean {
	const {zones} = rule.selector;
	return zones === undefined || (zone !== undefined && zones.includes(zone));
}

/** Whether a rule applies to a caller's statements for a group. */
export function appliesToCaller(rule: Rule, subject: CallerSubject): boolean {
	const {callers = [], groups = []} = rule.selector;
	return matchesZone(rule, subject.caller.zone)
		&& matchesLabels(callers, subject.caller)
		&& matchesLabels(groups, subject.group);
}

/** Whether a rule applies to an endpoint. */
export function appliesToEndpoint(rule: Rule, subject: EndpointSubject): boolean {
	const {endpoints = [], groups = []} = rule.selector;
	return matchesZone(rule, subject.endpoint.zone)
		&& matchesLabels(endpoints, subject.endpoint)
		&& matchesLabels(groups, subject.group);
}

/** Rules by what they apply to, in order of precedence. */
export type CompiledRules = {
	readonly callers: readonly Rule[];
	readonly endpoints: readonly Rule[];
	/** Whether the selector of any rule has a condition on the caller's application name. */
	readonly usesApplication: boolean;
};

/** Sorts the rules of a model by precedence, so that the first rule that matches wins. */
export function compileRules(model: ConfigurationModel): CompiledRules {
	const sorted = [...model.rule.values()].toSorted(compareRules);
	return {
		callers: sorted.filter(rule => effectSubjects[rule.effect.kind] === 'callers'),
		endpoints: sorted.filter(rule => effectSubjects[rule.effect.kind] === 'endpoints'),
		usesApplication: sorted.some(rule => rule.selector.callers?.some(({label}) => label === 'application')),
	};
}
