/** Decides for each statement text what it does, with a bounded cache of texts. */
import {
	hasSqlDetails, loadModule, parseSync, type ParseResult,
} from 'libpg-query';
import {statementDefaults} from './constants.js';
import {ruleOf} from './statement-rules.js';
import {isSingleDataStatement} from './text-scanner.js';
import type {ClassifiedText, Statement} from './types.js';

/** Options of the classifier. */
export type ClassifierOptions = Partial<Pick<typeof statementDefaults, 'maximumCachedTexts' | 'maximumCachedChars' | 'maximumParsedChars'>>;

/** Loads the parser; once before the first classification. */
export async function loadParser(): Promise<void> {
	await loadModule();
}

const uncertainWrite: Statement = {
	kind: 'relayed',
	access: 'write',
	transaction: {kind: 'none'},
	mayLiftReadOnly: false,
	needsTransaction: false,
};

/** Classifies statement texts. */
export class StatementClassifier {
	private readonly _options: Required<ClassifierOptions>;
	/** In the order of last use. */
	private readonly _cache = new Map<string, ClassifiedText>();

	constructor(options: ClassifierOptions = {}) {
		this._options = {...statementDefaults, ...options};
	}

	/** Texts that are remembered. */
	get cachedTexts(): number {
		return this._cache.size;
	}

	/** The statements of a text. */
	classify(text: string): ClassifiedText {
		const known = this._cache.get(text);
		if (known) {
			this._cache.delete(text);
			this._cache.set(text, known);
			return known;
		}

		const classified = text.length > this._options.maximumParsedChars ? scan(text) : parse(text);
		this._remember(text, classified);
		return classified;
	}

	private _remember(text: string, classified: ClassifiedText): void {
		if (text.length > this._options.maximumCachedChars) {
			return;
		}

		this._cache.set(text, classified);
		if (this._cache.size > this._options.maximumCachedTexts) {
			const oldest = this._cache.keys().next();
			this._cache.delete(oldest.value ?? '');
		}
	}
}

function scan(text: string): ClassifiedText {
	return isSingleDataStatement(text)
		? [uncertainWrite]
		: [{kind: 'refused', reason: 'a text of this length must be one INSERT, UPDATE, DELETE, MERGE or SELECT; use parameters or split it'}];
}

const empty: ClassifiedText = [{kind: 'local', act: {name: 'empty'}}];

function parse(text: string): ClassifiedText {
	if (text.trim() === '') {
		return empty;
	}

	let result: ParseResult;
	try {
		result = parseSync(text);
	} catch (error) {
		// Text that does not parse goes to the primary, which says what is wrong with it.
		return hasSqlDetails(error)
			? [uncertainWrite]
			: [{kind: 'refused', reason: 'the statement is nested too deeply'}];
	}

	const statements = result.stmts ?? [];
	return statements.length === 0
		? empty
		: statements.map(statement => ruleOf(statement.stmt));
}
