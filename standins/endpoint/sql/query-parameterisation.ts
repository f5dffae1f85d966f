/**
 * Replaces the literals in simple queries by parameters, so that queries that differ only in literals share one plan.
 *
 * Parsing and planning a query costs more than executing one that reads by key. Without this, a load
 * generator that writes its values into the query text would cause that cost for every query.
 */
import {sqlTypes, type SqlType} from './sql-types.js';

/** A query text in which parameters replace the literals. */
export type ParameterisedQuery = {
	readonly shape: string;
	/** Types of the parameters; undefined for quoted literals, whose type the context decides. */
	readonly declaredTypes: ReadonlyArray<SqlType | undefined>;
	readonly literalTexts: readonly string[];
};

const parameterisablePattern = /^\s*(?:select|insert|update|delete)\b/iv;
/** Comments, other quotes, parameters, and constructs in which a literal is not a value. */
const unsafePattern = /[$"\\;]|--|\/\*|::|\b(?:order|group|cast|interval|generate_series|date|timestamp|timestamptz)\b/iv;
/** Quoted and numeric literals. A quote after a word character begins a literal of another kind (such as `E'...'`), which stays unchanged. */
const literalPattern = /\w'(?:[^']|'')*'|'(?<quoted>(?:[^']|'')*)'|(?<![\w.])(?<number>\d+(?:\.\d+)?)(?![\w.])/gv;
const maximumInt4 = 2_147_483_647;

function numberType(text: string): SqlType {
	if (text.includes('.')) {
		return sqlTypes.numeric;
	}

	return Number(text) > maximumInt4 ? sqlTypes.int8 : sqlTypes.int4;
}

/** Replaces the literals by parameters; undefined if there are none or that might change the meaning of the query. */
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
