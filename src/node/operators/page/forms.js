/**
 * The changes that the page offers: the fields of each, and the operations that it makes.
 */

/** Name of a rule that the page writes, with only the characters that rule names may have. */
function ruleName(prefix, ...parts) {
	const text = parts.filter(Boolean).join('.').replaceAll(/[^\w.\-]+/gv, '-');
	return `${prefix}.${text || 'all'}`.slice(0, 100);
}

function putRule(name, selector, effect) {
	return {op: 'put', kind: 'rule', value: {name, selector, effect}};
}

function removeRule(name) {
	return {op: 'remove', kind: 'rule', name};
}

/** Drains an endpoint or a zone. */
export function drainOperation(kind, name) {
	const selector = kind === 'zone' ? {zones: [name]} : {endpoints: `name=${name}`};
	return putRule(ruleName(`drain.${kind}`, name), selector, {kind: 'drain'});
}

/** Orders an endpoint of a group to be primary. */
export function orderPrimaryOperation(group, endpoint) {
	return putRule(ruleName('primary', group), {endpoints: `name=${endpoint}`, groups: `name=${group}`}, {kind: 'orderPrimary'});
}

function groupsOf({services}) {
	return services.flatMap(service => service.groups);
}

function endpointsOf(configuration) {
	return groupsOf(configuration).flatMap(group => group.endpoints.map(endpoint => ({...endpoint, group: group.name})));
}

function zonesOf(configuration) {
	return [...new Set(endpointsOf(configuration).map(({availabilityZone}) => availabilityZone))].toSorted();
}

function option(value, text = value) {
	return {value, text};
}

const anyGroup = option('', 'every group');

function groupOptions(configuration) {
	return [anyGroup, ...groupsOf(configuration).map(({name}) => option(name))];
}

const callersField = {name: 'callers', label: 'Callers (labels; empty: all), such as user=web', type: 'text'};
const groupField = {name: 'group', label: 'Group', options: groupOptions};

function callerSelector({callers, group}) {
	return {
		...(callers.trim() && {callers: callers.trim()}),
		...(group && {groups: `name=${group}`}),
	};
}

function numberField(name, label) {
	return {name, label, type: 'number'};
}

/** The fields that were filled in, as numbers. */
function filled(values, names) {
	return Object.fromEntries(names.filter(name => values[name] !== '').map(name => [name, Number(values[name])]));
}

function callerRules(values, effects) {
	return effects
		.filter(({kind: _kind, ...rest}) => Object.keys(rest).length > 0)
		.map(effect => putRule(ruleName(effect.kind, values.callers.trim(), values.group), callerSelector(values), effect));
}

function labelled(configuration) {
	return [
		...configuration.services.map(entry => ['service', entry.name, entry]),
		...configuration.services.flatMap(service => service.groups.map(group => ['group', group.name, {...group, service: service.name}])),
		...endpointsOf(configuration).map(entry => ['endpoint', entry.name, entry]),
		...configuration.callers.map(entry => ['caller', entry.user, entry]),
	];
}

function labelsText(labels) {
	return Object.entries(labels).map(([key, value]) => `${key}=${value}`).join(',');
}

function parseLabels(text) {
	return Object.fromEntries(text.split(',').map(part => part.trim()).filter(Boolean).map(part => {
		const [key, ...rest] = part.split('=');
		return [key.trim(), rest.join('=').trim()];
	}));
}

/** The change forms, in the order in which they are offered. */
export const forms = [
	{
		title: 'Drain a zone or an endpoint',
		fields: [{
			name: 'target',
			label: 'Takes no new work',
			options: configuration => [
				...zonesOf(configuration).map(zone => option(`zone ${zone}`)),
				...endpointsOf(configuration).map(({name}) => option(`endpoint ${name}`)),
			],
		}],
		operations: ({target}) => [drainOperation(...target.split(' '))],
	},
	{
		title: 'End a drain',
		fields: [{
			name: 'rule',
			label: 'Drain that ends',
			options: ({rules}) => rules.filter(({effect}) => effect.kind === 'drain').map(({name}) => option(name)),
		}],
		operations: ({rule}) => [removeRule(rule)],
	},
	{
		title: 'Order a group\'s primary',
		fields: [{
			name: 'target',
			label: 'Primary',
			options: configuration => endpointsOf(configuration).map(({name, group}) => option(`${group} ${name}`, `${group}: ${name}`)),
		}],
		operations: ({target}) => [orderPrimaryOperation(...target.split(' '))],
	},
	{
		title: 'Prefer a zone for primaries',
		fields: [
			{name: 'zone', label: 'Zone', options: configuration => zonesOf(configuration).map(zone => option(zone))},
			groupField,
			numberField('weight', 'Weight (higher is preferred)'),
		],
		operations: ({zone, group, weight}) => [putRule(
			ruleName('prefer', zone, group),
			{zones: [zone], ...(group && {groups: `name=${group}`})},
			{kind: 'primaryPreference', weight: Number(weight || 10)},
		)],
	},
	{
		title: 'Where reads go, and how old their data may be',
		fields: [
			callersField,
			groupField,
			{name: 'reads', label: 'Reads go to', options: () => [option('', 'as before'), option('replicas', 'any endpoint that is fresh enough'), option('primary', 'the primary')]},
			numberField('maximumAgeMs', 'Oldest data in milliseconds (empty: as before)'),
		],
		operations: values => callerRules(values, [{
			kind: 'readRouting', ...(values.reads && {reads: values.reads}), ...filled(values, ['maximumAgeMs']),
		}]),
	},
	{
		title: 'Limit and priority of callers',
		fields: [
			callersField,
			groupField,
			numberField('maximumInProgress', 'Statements in progress on one node'),
			numberField('priority', 'Priority (lower is served first)'),
		],
		operations: values => callerRules(values, [{kind: 'callerLimit', ...filled(values, ['maximumInProgress', 'priority'])}]),
	},
	{
		title: 'Deadlines and retries',
		fields: [
			callersField,
			groupField,
			numberField('deadlineMs', 'Deadline in milliseconds'),
			numberField('maximumRetries', 'Retries of statements that did not run'),
			numberField('transactionIdleMs', 'Longest idle time of a transaction in milliseconds'),
		],
		operations: values => callerRules(values, [
			{kind: 'deadline', ...filled(values, ['deadlineMs'])},
			{kind: 'retryAllowance', ...filled(values, ['maximumRetries'])},
			{kind: 'transactionIdle', ...filled(values, ['transactionIdleMs'])},
		]),
	},
	{
		title: 'Labels',
		fields: [
			{
				name: 'target',
				label: 'Entry',
				options: configuration => labelled(configuration).map(([kind, name, {labels}]) => option(`${kind} ${name}`, `${kind} ${name} (${labelsText(labels) || 'no labels'})`)),
			},
			{name: 'labels', label: 'All its labels, such as tier=gold,disk=fast', type: 'text'},
		],
		operations({target, labels}, configuration) {
			const [kind, , {groups: _groups, endpoints: _endpoints, ...value}] = labelled(configuration).find(([kind, name]) => `${kind} ${name}` === target);
			return [{op: 'put', kind, value: {...value, labels: parseLabels(labels)}}];
		},
	},
	{
		title: 'Remove a rule',
		fields: [{name: 'rule', label: 'Rule', options: ({rules}) => rules.map(({name}) => option(name))}],
		operations: ({rule}) => [removeRule(rule)],
	},
	{
		title: 'Anything else, as JSON',
		fields: [{name: 'json', label: 'Operations', type: 'textarea'}],
		operations: ({json}) => JSON.parse(json),
	},
];
