import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {z} from 'zod';
import {groupDefaults} from '../groups/constants.js';
import {defaultHomeOptions} from '../homes/constants.js';
import {routingDefaults} from '../routing/constants.js';
import {tableRows} from '../testing/markdown-tables.js';
import {settingsSchema} from './settings-schema.js';

type Node = z.core.JSONSchema._JSONSchema;

const rows = tableRows(readFileSync('docs/SETTINGS.md', 'utf8'));

/** The schema of the items of an array, or the schema itself for anything else. */
function itemOf(node: z.core.JSONSchema.JSONSchema): z.core.JSONSchema.JSONSchema {
	const {items} = node;
	return typeof items === 'object' && !Array.isArray(items) ? items : node;
}

/** Every setting without members of its own, with its default in the notation of docs/SETTINGS.md. */
function settingsIn(node: Node, path: string, isRequired: boolean): string[] {
	if (typeof node === 'boolean') {
		return [];
	}

	const {properties, required = []} = itemOf(node);
	if (properties === undefined) {
		const withoutDefault = isRequired ? 'required' : '–';
		return [`\`${path}\` ${node.default === undefined ? withoutDefault : `\`${JSON.stringify(node.default)}\``}`];
	}

	const outer = path === '' ? [] : [node.type === 'array' ? `${path}[]` : path];
	return Object.entries(properties).flatMap(([name, property]) =>
		settingsIn(property, [...outer, name].join('.'), required.includes(name)));
}

describe('settingsSchema', () => {
	it('agrees with docs/SETTINGS.md in names and defaults', () => {
		const documented = rows.map(([name, value]) => `${name} ${value}`).filter(row => !row.startsWith('`tuning.'));
		const settings = settingsIn(z.toJSONSchema(settingsSchema, {io: 'input', unrepresentable: 'any'}), '', true)
			.filter(setting => !setting.startsWith('`tuning.'));
		expect(documented).toEqual(settings);
	});

	it('agrees with docs/SETTINGS.md in the defaults of tuning', () => {
		const defaults: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
			groups: groupDefaults, homes: defaultHomeOptions, routing: routingDefaults,
		};
		for (const [name, value] of rows.filter(([name]) => name.startsWith('`tuning.'))) {
			const [, part, option] = name.replaceAll('`', '').split('.');
			expect(value).toEqual(String(defaults[part][option]));
		}
	});
});
