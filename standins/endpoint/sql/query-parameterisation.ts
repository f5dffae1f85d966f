/**
 * Takes literals out of simple queries, so that queries that differ only in them share one plan.
 *
 * Parsing and planning cost more than running a query by key; a load generator that writes
 * its values into the text would otherwise pay them every time.
 */
import {sqlTypes, type SqlType} from './sql-types.js';

/** A query text with parameters in place of literals. */
export type ParameterisedQuery = {
	readonly shape: string;
	/** Undefined for text literals, whose type the context decides. */
	readonly declaredTypes: ReadonlyArray<SqlType | undefined>;
	readonly literalTexts: readonly string[];
};

const parameterisablePattern = /^\s*(?:select|insert|update|delete)\b/iv;
/** Comments, other quotes, parameters and places where a literal is no value. */
const unsafePattern = /[$"\\;]|--|\/\*|::|\b(?:order|group|cast|interval|generate_series|date|timestamp|timestamptz)\b/iv;
/** A quote after a word character begins a literal of another kind, which is left alone. */
const literalPattern = /\w'(?:[^']|'')*'|'(?<quoted>(?:[^']|'')*)'|(?<![\w.])(?<number>\d+(?:\.\d+)?)(?![\w.])/gv;
const maximumInt4 = 2_147_483_647;

function numberType(text: string): SqlType {
	if (text.includes('.')) {
		return sqlTypes.numeric;
	}

	return Number(text) > maximumInt4 ? sqlTypes.int8 : sqlTypes.int4;
}

/** Takes the literals out; undefined where that might change what the query means. */
export function parameteriseLiterals(text: string): ParameterisedQuery | undefined {
	if (!parameterisablePattern.test(text) || unsafePattern.test(text)) {
		return undefined;
	}

	const declaredTypes: Array<SqlType | undefined> = [];
	const literalTexts: string[] = [];
	const shape = text.replaceAll(literalPattern, (literal: string, quoted: string | undefined, number: string | undefined) => {
		if (quoted === undefined && number === undefined) {
			return literal;
		}

		declaredTypes.push(quoted === undefined ? numberType(literal) : undefined);
		literalTexts.push(quoted === undefined ? literal : quoted.replaceAll('\'\'', '\''));
		return `$${literalTexts.length}`;
	});
	return literalTexts.length === 0 || literalTexts.some(value => /^\d{16,}$/v.test(value)) ? undefined : {shape, declaredTypes, literalTexts};
}
