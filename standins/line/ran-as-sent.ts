/**
 * Compares every statement that instances got for callers with what callers had sent under its id:
 * the text, the prepared statement, the session values and the transaction.
 */
import {readQuery} from './instance-grammar.js';
import type {Execution, InstanceRun} from './line-group.js';

/** A statement as its caller sent it, with the state of the session at that moment. */
export type SentStatement = {
	readonly id: string;
	/** Name of the caller's session, unique in a run. */
	readonly session: string;
	readonly text: string;
	/** Parameters of an EXECUTE; undefined for other statements. */
	readonly parameters?: string;
	/** What the session had prepared under the name of an EXECUTE; undefined if nothing was acknowledged. */
	readonly prepared?: Omit<Execution, 'parameters'>;
	/** Session values that were acknowledged. */
	readonly values: ReadonlyMap<string, string>;
	/** Name of the session's transaction, unique in a run; undefined outside of one. */
	readonly transaction?: string;
};

/**
 * `pinned`: a statement got another connection than its transaction, another caller's transaction,
 * other session values, or another prepared statement. `unasked`: nobody sent the statement, its text
 * was changed, or nobody asked for the commit.
 */
export type ViolatedRule = 'pinned' | 'unasked';

/** A statement that did not run as it was sent; `sent` is missing if nobody sent it. */
export type Violation = {
	readonly rule: ViolatedRule;
	readonly reason: string;
	readonly run: InstanceRun;
	readonly sent: SentStatement | undefined;
};

type Broken = Pick<Violation, 'rule' | 'reason'>;

/** Codes of an instance which mean that it did not run the statement. */
const notRunCodes: ReadonlySet<string> = new Set(['BUSY', 'NOSTMT', 'LAGGING', 'READONLY']);

/** Maximum length of a text in a description. */
const describedCharacters = 200;

/** Records what was sent and what ran, and compares both. */
export class RanAsSent {
	private readonly _sent = new Map<string, SentStatement>();
	private readonly _runs: InstanceRun[] = [];

	/** Number of statements that instances got. */
	get runs(): number {
		return this._runs.length;
	}

	/** Records that a caller sends a statement. */
	recordSent(sent: SentStatement): void {
		this._sent.set(sent.id, sent);
	}

	/** Records that an instance got a statement; in the order in which all instances got theirs. */
	recordRun(run: InstanceRun): void {
		this._runs.push(run);
	}

	/** Returns every difference between what ran and what was sent. */
	violations(): Violation[] {
		const transactions = new TransactionPlaces();
		return this._runs.flatMap(run => {
			const sent = this._sent.get(run.id);
			const broken = sent
				? [...textChanges(sent, run), ...preparedChanges(sent, run), ...valueChanges(sent, run), ...transactions.check(sent, run)]
				: [{rule: 'unasked', reason: 'nobody sent it'} as const];
			return broken.map(({rule, reason}) => ({
				rule, reason, run, sent,
			}));
		});
	}
}

/** Describes a violation with the id and both sides; long texts are cut. */
export function describeViolation({reason, run, sent}: Violation): string {
	const sentText = sent && {...sent, values: [...sent.values]};
	return `${run.id}: ${reason}; sent: ${cut(JSON.stringify(sentText) ?? 'nothing')}; got: ${cut(JSON.stringify({...run, values: [...run.values]}))}`;
}

/** The transactions of connections in which the transactions of callers run. */
class TransactionPlaces {
	private readonly _places = new Map<string, string>();
	private readonly _owners = new Map<string, string>();

	check({transaction}: SentStatement, run: InstanceRun): Broken[] {
		const place = run.transaction === undefined ? undefined : `transaction ${run.transaction} of ${run.connection}`;
		if (notRunCodes.has(run.code) || (transaction === undefined && place === undefined)) {
			return [];
		}

		if (transaction === undefined || place === undefined) {
			const reason = place === undefined ? `ran outside of its transaction ${transaction}` : `ran inside ${place}, of ${this._owners.get(place) ?? 'nobody'}`;
			return [{rule: 'pinned', reason}];
		}

		const first = this._places.get(transaction) ?? place;
		const owner = this._owners.get(place) ?? transaction;
		this._places.set(transaction, first);
		this._owners.set(place, owner);
		const isForeign = owner !== transaction;
		return [
			...first === place ? [] : [{rule: 'pinned', reason: `ran in ${place}, began in ${first}`} as const],
			...isForeign ? [{rule: 'pinned', reason: `ran inside ${place}, of ${owner}`} as const] : [],
			...isForeign && run.text === 'COMMIT' ? [{rule: 'unasked', reason: `committed ${place}, of ${owner}`} as const] : [],
		];
	}
}

function textChanges({text, parameters}: SentStatement, run: InstanceRun): Broken[] {
	if (parameters === undefined) {
		return run.text === text ? [] : [{rule: 'unasked', reason: 'the text was changed'}];
	}

	// The name of a prepared statement may be another one.
	const {statement} = readQuery(run.text);
	const isUnchanged = statement.kind === 'execute' && statement.parameters === parameters;
	return isUnchanged ? [] : [{rule: 'unasked', reason: 'the parameters were changed'}];
}

function preparedChanges({prepared}: SentStatement, {execution, code}: InstanceRun): Broken[] {
	if (!execution) {
		return prepared && code === 'NOSTMT' ? [{rule: 'pinned', reason: 'the acknowledged name was not known'}] : [];
	}

	const isSame = prepared?.isWrite === execution.isWrite && prepared.shape === execution.shape;
	return isSame ? [] : [{rule: 'pinned', reason: 'another prepared statement ran'}];
}

function valueChanges({values}: SentStatement, run: InstanceRun): Broken[] {
	const isSame = values.size === run.values.size && [...values].every(([name, value]) => run.values.get(name) === value);
	return isSame ? [] : [{rule: 'pinned', reason: 'the session values differ'}];
}

function cut(text: string): string {
	return text.length <= describedCharacters ? text : `${text.slice(0, describedCharacters)}... (${text.length})`;
}
