/** Classifies statement texts by what they do, with a bounded cache of texts. */
import {
	hasSqlDetails, loadModule, parseSync, type ParseResult,
} from 'libpg-query';
import {statementDefaults} from './constants.js';
import {classifyStatement} from './statement-rules.js';
import {isSingleDataStatement} from './text-scanner.js';
import type {ClassifiedText, Statement} from './types.js';

/** Options of the classifier. */
export type ClassifierOptions = Partial<Pick<typeof statementDefaults, 'maximumCachedTexts' | 'maximumCachedChars' | 'maximumParsedChars'>>;

/** Loads the parser; must be awaited once before the first classification. */
export async function loadParser(): Promise<void> {
	await loadModule();
}

const assumedWrite: Statement = {
	kind: 'relayed',
	access: 'write',
	transaction: {kind: 'none'},
	mayDisableReadOnly: false,
	needsTransaction: false,
};

/** Classifies statement texts. */
export class StatementClassifier {
	private readonly _options: Required<ClassifierOptions>;
	/**
	 * The cached texts in two generations, so that a hit in the young one changes nothing:
	 * reordering a single map on every hit costs 2 µs. When the young generation is full, it
	 * replaces the old one, whose remaining texts are evicted.
	 */
	private _young = new Map<string, ClassifiedText>();
	private _old = new Map<string, ClassifiedText>();

	constructor(options: ClassifierOptions = {}) {
		this._options = {...statementDefaults, ...options};
	}

	/** Number of texts in the cache. */
	get cachedTexts(): number {
		return this._young.size + this._old.size;
	}

	/** Returns the classified statements of a text. */
	classify(text: string): ClassifiedText {
		const known = this._young.get(text);
		if (known) {
			return known;
		}

		const oldEntry = this._old.get(text);
		if (oldEntry) {
			this._old.delete(text);
			this._store(text, oldEntry);
			return oldEntry;
		}

		const classified = text.length > this._options.maximumParsedChars ? scan(text) : parse(text);
		this._store(text, classified);
		return classified;
	}

	private _store(text: string, classified: ClassifiedText): void {
		if (text.length > this._options.maximumCachedChars) {
			return;
		}

		this._young.set(text, classified);
		if (this._young.size > this._options.maximumCachedTexts / 2) {
			this._old = this._young;
			this._young = new Map();
		}
	}
}

function scan(text: string): ClassifiedText {
	return isSingleDataStatement(text)
		? [assumedWrite]
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
		// A text that does not parse goes to the primary, which reports the syntax error.
		return hasSqlDetails(error)
			? [assumedWrite]
			: [{kind: 'refused', reason: 'the statement is nested too deeply'}];
	}

	const statements = result.stmts ?? [];
	return statements.length === 0
		? empty
		: statements.map(statement => classifyStatement(statement.stmt));
}
