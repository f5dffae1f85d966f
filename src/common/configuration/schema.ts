/**
 * The schema of the configuration: the document that operators read and write, and the
 * operations of a change. The types are inferred from it.
 */
import {z} from 'zod';
import {configurationLimits, defaultEndpoint, defaultRuleOrder} from './constants.js';
import {parseLabelSelector} from './label-selector.js';

const nameSchema = z.string()
	.max(configurationLimits.nameLength)
	.regex(/^[A-Za-z0-9][\w.\-]*$/v, 'expected letters, digits, dots, hyphens and underscores, beginning with a letter or digit');
/** Rule names may be longer than others, since rules are often named after what they apply to. */
const ruleNameSchema = z.string()
	.max(configurationLimits.ruleNameLength)
	.regex(/^[A-Za-z0-9][\w.\-]*$/v, 'expected letters, digits, dots, hyphens and underscores, beginning with a letter or digit');
const labelKeySchema = z.string()
	.max(configurationLimits.nameLength)
	.regex(/^[A-Za-z0-9][\w.\/\-]*$/v, 'expected letters, digits, dots, hyphens, underscores and slashes, beginning with a letter or digit');
const labelValueSchema = z.string()
	.max(configurationLimits.nameLength)
	.regex(/^[\w.\-]*$/v, 'expected letters, digits, dots, hyphens and underscores');

const labelsSchema = z.record(labelKeySchema, labelValueSchema)
	.refine(labels => Object.keys(labels).length <= configurationLimits.labelsPerThing, `expected at most ${configurationLimits.labelsPerThing} labels`)
	.default({});

/** Labels of an entry: values by key. */
export type Labels = Readonly<Record<string, string>>;

const valuesSchema = z.array(labelValueSchema).min(1).max(configurationLimits.valuesPerRequirement);

const requirementSchema = z.discriminatedUnion('operator', [
	z.strictObject({label: labelKeySchema, operator: z.literal('equals'), value: labelValueSchema}),
	z.strictObject({label: labelKeySchema, operator: z.literal('in'), values: valuesSchema}),
	z.strictObject({label: labelKeySchema, operator: z.literal('notIn'), values: valuesSchema}),
	z.strictObject({label: labelKeySchema, operator: z.literal('exists')}),
	z.strictObject({label: labelKeySchema, operator: z.literal('notExists')}),
]);

/** One condition on one label. */
export type LabelRequirement = z.output<typeof requirementSchema>;

const requirementsSchema = z.array(requirementSchema).min(1).max(configurationLimits.requirementsPerSelector);

/** A list of requirements, or the same as one line of text. */
const labelSelectorSchema = z.preprocess((input, context) => {
	if (typeof input !== 'string') {
		return input;
	}

	return parseLabelSelector(input)
		.mapLeft(message => {
			context.addIssue({code: 'custom', message, input});
			return z.NEVER;
		})
		.extract();
}, requirementsSchema);

/** Requirements that must all hold. */
export type LabelSelector = readonly LabelRequirement[];

const selectorSchema = z.strictObject({
	/** Conditions on endpoints; only for rules about endpoints. */
	endpoints: labelSelectorSchema.optional(),
	/** Conditions on callers; only for rules about callers. */
	callers: labelSelectorSchema.optional(),
	/** Conditions on the group. */
	groups: labelSelectorSchema.optional(),
	/** Availability zones of the endpoint, or of the caller for rules about callers. */
	zones: z.array(nameSchema).min(1).max(configurationLimits.valuesPerRequirement).optional(),
});

/** What a rule applies to; a member that is absent matches everything. */
export type RuleSelector = z.output<typeof selectorSchema>;

const countSchema = z.int().min(0).max(configurationLimits.count);
const durationSchema = z.int().min(1).max(configurationLimits.durationMs);

const effectSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('readRouting'),
		reads: z.enum(['replicas', 'primary']).optional(),
		maximumAgeMs: z.union([z.int().min(0).max(configurationLimits.durationMs), z.literal('unbounded')]).optional(),
	}).refine(effect => effect.reads !== undefined || effect.maximumAgeMs !== undefined, 'expected reads or maximumAgeMs'),
	z.strictObject({
		kind: z.literal('callerLimit'),
		priority: countSchema.optional(),
		maximumInProgress: countSchema.optional(),
	}).refine(effect => effect.priority !== undefined || effect.maximumInProgress !== undefined, 'expected priority or maximumInProgress'),
	z.strictObject({kind: z.literal('deadline'), deadlineMs: durationSchema}),
	z.strictObject({kind: z.literal('retryAllowance'), maximumRetries: z.int().min(0).max(100)}),
	z.strictObject({kind: z.literal('transactionIdle'), transactionIdleMs: durationSchema}),
	z.strictObject({kind: z.literal('drain'), isDraining: z.boolean().default(true)}),
	z.strictObject({kind: z.literal('readAcceptance'), acceptsReads: z.boolean()}),
	z.strictObject({kind: z.literal('primaryPreference'), weight: z.int().min(-1000).max(1000)}),
	z.strictObject({kind: z.literal('orderPrimary')}),
]);

/** What a rule does. */
export type RuleEffect = z.output<typeof effectSchema>;

/** Name of an effect. */
export type EffectKind = RuleEffect['kind'];

/** Which member of the selector each effect uses besides `groups` and `zones`. */
export const effectSubjects: Readonly<Record<EffectKind, 'callers' | 'endpoints'>> = {
	readRouting: 'callers',
	callerLimit: 'callers',
	deadline: 'callers',
	retryAllowance: 'callers',
	transactionIdle: 'callers',
	drain: 'endpoints',
	readAcceptance: 'endpoints',
	primaryPreference: 'endpoints',
	orderPrimary: 'endpoints',
};

const ruleSchema = z.strictObject({
	name: ruleNameSchema,
	order: z.int().min(-1000).max(1000).default(defaultRuleOrder),
	selector: selectorSchema.default({}),
	effect: effectSchema,
	note: z.string().max(configurationLimits.noteLength).optional(),
	/** Number of the change that last wrote the rule; set by the log. */
	changedIn: z.int().min(0).optional(),
}).superRefine((rule, context) => {
	const subject = effectSubjects[rule.effect.kind];
	const other = subject === 'callers' ? 'endpoints' : 'callers';
	if (rule.selector[other] !== undefined) {
		context.addIssue({
			code: 'custom',
			path: ['selector', other],
			message: `expected no ${other} selector: ${rule.effect.kind} applies to ${subject}`,
			input: rule,
		});
	}
});

/** A rule: what it applies to and what it does. */
export type Rule = z.output<typeof ruleSchema>;

const serviceSchema = z.strictObject({name: nameSchema, labels: labelsSchema});
const groupSchema = z.strictObject({name: nameSchema, service: nameSchema, labels: labelsSchema});
const endpointSchema = z.strictObject({
	name: nameSchema,
	group: nameSchema,
	availabilityZone: nameSchema,
	host: z.union([z.ipv4(), z.ipv6()], 'expected an IP address'),
	port: z.int().min(1).max(65_535),
	labels: labelsSchema,
	slots: z.int().min(1).max(configurationLimits.slots).default(defaultEndpoint.slots),
	connections: z.int().min(1).max(configurationLimits.slots).default(defaultEndpoint.connections),
});
const callerSchema = z.strictObject({
	user: z.string().min(1).max(configurationLimits.nameLength),
	labels: labelsSchema,
});

/** A service as an entry of the configuration. */
export type ServiceEntry = z.output<typeof serviceSchema>;
/** A group as an entry of the configuration. */
export type GroupEntry = z.output<typeof groupSchema>;
/** An endpoint as an entry of the configuration. */
export type EndpointEntry = z.output<typeof endpointSchema>;
/** A caller as an entry of the configuration. */
export type CallerEntry = z.output<typeof callerSchema>;

/** The whole configuration as operators read and write it. */
export const documentSchema = z.strictObject({
	services: z.array(serviceSchema.extend({
		groups: z.array(groupSchema.omit({service: true}).extend({
			endpoints: z.array(endpointSchema.omit({group: true})).default([]),
		})).default([]),
	})).default([]),
	callers: z.array(callerSchema).default([]),
	rules: z.array(ruleSchema).default([]),
});

/** The whole configuration as operators read and write it. */
export type ConfigurationDocument = z.output<typeof documentSchema>;

const removedNameSchema = z.string().min(1).max(configurationLimits.ruleNameLength);

const operationSchema = z.discriminatedUnion('op', [
	z.discriminatedUnion('kind', [
		z.strictObject({op: z.literal('put'), kind: z.literal('service'), value: serviceSchema}),
		z.strictObject({op: z.literal('put'), kind: z.literal('group'), value: groupSchema}),
		z.strictObject({op: z.literal('put'), kind: z.literal('endpoint'), value: endpointSchema}),
		z.strictObject({op: z.literal('put'), kind: z.literal('caller'), value: callerSchema}),
		z.strictObject({op: z.literal('put'), kind: z.literal('rule'), value: ruleSchema}),
	]),
	z.strictObject({op: z.literal('remove'), kind: z.enum(['service', 'group', 'endpoint', 'caller', 'rule']), name: removedNameSchema}),
]);

/** Writes or removes one entry of the configuration. */
export type Operation = z.output<typeof operationSchema>;

/** The kind of entry that an operation writes or removes. */
export type EntryKind = Operation['kind'];

/** The operations of one change, in the order in which they are applied. */
export const operationsSchema = z.array(operationSchema).min(1).max(configurationLimits.operationsPerChange);

/** An accepted change: one item of the log. */
export const changeSchema = z.strictObject({
	number: z.int().min(1),
	/** Identity that the author chooses for the proposal; proposals with the same one take effect at most once. */
	changeId: z.string().regex(/^[\w\-]{8,64}$/v, 'expected 8 to 64 letters, digits, hyphens and underscores'),
	author: z.string().min(1).max(200),
	/** Number of the last change that the author had seen when proposing this one. */
	basedOn: z.int().min(0),
	/** When it was proposed; shown to people, never used to order changes. */
	at: z.iso.datetime(),
	note: z.string().max(configurationLimits.noteLength).optional(),
	operations: operationsSchema,
	/** Operations that undo the change. */
	inverse: operationsSchema,
	undoOf: z.int().min(1).optional(),
	/** Identities of the warnings that the author acknowledged. */
	acknowledged: z.array(z.string().max(200)).max(1000).default([]),
});

/** An accepted change: one item of the log. */
export type Change = z.output<typeof changeSchema>;

/** The whole configuration after the change with a number. */
export const snapshotSchema = z.strictObject({number: z.int().min(0), document: documentSchema});
