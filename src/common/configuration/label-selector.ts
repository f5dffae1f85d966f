/**
 * Label selectors: a list of requirements that must all hold, either as typed JSON or as one
 * line of text such as `zone=bkk-1,tier in (a,b),!old`.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {LabelRequirement, LabelSelector, Labels} from './schema.js';

type Operator = LabelRequirement['operator'];

type Handler = {
	matches(value: string | undefined, operands: readonly string[]): boolean;
	format(label: string, operands: readonly string[]): string;
};

/** Evaluation and formatting of each operator. An absent label counts as in no list of values, so `notIn` matches it. */
const operators: Readonly<Record<Operator, Handler>> = {
	equals: {
		matches: (value, [operand]) => value === operand,
		format: (label, [operand = '']) => `${label}=${operand}`,
	},
	in: {
		matches: (value, operands) => value !== undefined && operands.includes(value),
		format: (label, operands) => `${label} in (${operands.join(',')})`,
	},
	notIn: {
		matches: (value, operands) => value === undefined || !operands.includes(value),
		format: (label, operands) => `${label} notin (${operands.join(',')})`,
	},
	exists: {
		matches: value => value !== undefined,
		format: label => label,
	},
	notExists: {
		matches: value => value === undefined,
		format: label => `!${label}`,
	},
};

function operandsOf(requirement: LabelRequirement): readonly string[] {
	if ('value' in requirement) {
		return [requirement.value];
	}

	return 'values' in requirement ? requirement.values : [];
}

/** Whether the labels meet every requirement of a selector. */
export function matchesLabels(selector: LabelSelector, labels: Labels): boolean {
	return selector.every(requirement => {
		const value = Object.hasOwn(labels, requirement.label) ? labels[requirement.label] : undefined;
		return operators[requirement.operator].matches(value, operandsOf(requirement));
	});
}

/** Formats a selector as one line of text that `parseLabelSelector` reads. */
export function formatLabelSelector(selector: LabelSelector): string {
	return selector.map(requirement => operators[requirement.operator].format(requirement.label, operandsOf(requirement))).join(',');
}

/** Values that a selector requires a label to have; validation checks that what they name exists. */
export function namedValues(selector: LabelSelector, label: string): readonly string[] {
	return selector
		.filter(requirement => requirement.label === label)
		.filter(({operator}) => operator === 'equals' || operator === 'in')
		.flatMap(requirement => operandsOf(requirement));
}

const key = String.raw`[A-Za-z0-9][\w.\/\-]*`;
const values = String.raw`[\w.\-]*(?:\s*,\s*[\w.\-]*)*`;

type Form = {
	readonly pattern: RegExp;
	read(label: string, operand: string): LabelRequirement;
};

function splitValues(operand: string): string[] {
	return operand.split(',').map(value => value.trim());
}

/** The textual forms of a requirement; the first pattern that matches is used. */
const forms: readonly Form[] = [
	{
		pattern: new RegExp(String.raw`^(${key})\s+in\s*\(\s*(${values})\s*\)$`, 'v'),
		read: (label, operand) => ({label, operator: 'in', values: splitValues(operand)}),
	},
	{
		pattern: new RegExp(String.raw`^(${key})\s+notin\s*\(\s*(${values})\s*\)$`, 'v'),
		read: (label, operand) => ({label, operator: 'notIn', values: splitValues(operand)}),
	},
	{
		pattern: new RegExp(String.raw`^(${key})\s*!=\s*([\w.\-]*)$`, 'v'),
		read: (label, operand) => ({label, operator: 'notIn', values: [operand]}),
	},
	{
		pattern: new RegExp(String.raw`^(${key})\s*==?\s*([\w.\-]*)$`, 'v'),
		read: (label, operand) => ({label, operator: 'equals', value: operand}),
	},
	{
		pattern: new RegExp(String.raw`^!\s*(${key})()$`, 'v'),
		read: label => ({label, operator: 'notExists'}),
	},
	{
		pattern: new RegExp(String.raw`^(${key})()$`, 'v'),
		read: label => ({label, operator: 'exists'}),
	},
];

/** Maximum length of a selector's text; bounds the work spent on hostile input. */
const maximumTextLength = 4000;

/** Splits a selector at the commas outside parentheses. */
function splitRequirements(text: string): string[] {
	return text.split(/,(?![^\(]*\))/v).map(part => part.trim());
}

function parseRequirement(text: string): Either<string, LabelRequirement> {
	for (const form of forms) {
		const match = form.pattern.exec(text);
		if (match) {
			return Right(form.read(match[1] ?? '', match[2] ?? ''));
		}
	}

	return Left(`expected label=value, label!=value, label in (a,b), label notin (a,b), label or !label, but found "${text}"`);
}

/** Parses a selector from one line of text; Left says what was expected and what was found. */
export function parseLabelSelector(text: string): Either<string, LabelSelector> {
	if (text.length > maximumTextLength) {
		return Left(`expected at most ${maximumTextLength} characters`);
	}

	const requirements: LabelRequirement[] = [];
	for (const part of splitRequirements(text)) {
		const requirement = parseRequirement(part);
		if (requirement.isLeft()) {
			return Left(requirement.extract());
		}

		requirement.ifRight(value => requirements.push(value));
	}

	return Right(requirements);
}
