/**
 * Arbitrary texts for property tests, names that mean something to the language included.
 */
import type {Arbitrary} from 'fast-check';
import {
	constantFrom, integer, oneof, string,
} from 'fast-check';

const oddNames = [
	...Object.getOwnPropertyNames(Object.prototype), 'prototype', '', ' ', 'a b', '0', '-', '\0', '\t', '\n', '\r', '\u007F', '\u00FF',
];

/** Texts of the line protocol, in which each character stands for one byte. */
export const anyLineText: Arbitrary<string> = oneof(
	string({unit: integer({min: 0, max: 255}).map(code => String.fromCodePoint(code)), maxLength: 40}),
	constantFrom(...oddNames),
);

/** Texts of any characters, such as names that operators choose. */
export const anyName: Arbitrary<string> = oneof(string({unit: 'binary', maxLength: 40}), constantFrom(...oddNames, '\uFEFF', '\uFEFFa', '\uFFFD'));
