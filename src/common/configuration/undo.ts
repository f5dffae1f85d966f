/**
 * Undoes a change by proposing a new one with the inverse operations of the earlier one.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {ChangeHistory} from './change-history.js';
import {isOf, type ConfigurationLog} from './configuration-log.js';
import {nameOf} from './model.js';
import type {Change, Operation} from './schema.js';
import type {
	Preview, Proposal, ProposalRefusal, Warning,
} from './types.js';

type Plan = {
	readonly operations: readonly Operation[];
	readonly warnings: readonly Warning[];
};

/** What an operator sends to undo a change; the operations follow from the change. */
export type UndoProposal = Omit<Proposal, 'operations' | 'undoOf'>;

function entryLabel(operation: Operation): string {
	const name = operation.op === 'put' ? nameOf(operation.value) : operation.name;
	return `${operation.kind} ${name}`;
}

/** Warnings of later changes to the same entries, which the undo would overwrite. */
function overwriteWarnings(change: Change, later: readonly Change[]): readonly Warning[] {
	const entries = new Set(change.inverse.map(operation => entryLabel(operation)));
	return later
		.filter(({operations}) => operations.some(operation => entries.has(entryLabel(operation))))
		.map(({number, author}) => ({
			id: `overwritesLater:${number}`,
			kind: 'overwritesLater',
			subject: `change ${number}`,
			message: `change ${number} by ${author} wrote the same entries later and would be undone too`,
		}));
}

/** Previews and proposes the undo of changes. */
export class Undo {
	private readonly _changeLog: ConfigurationLog;
	private readonly _history: ChangeHistory;

	constructor(changeLog: ConfigurationLog, history: ChangeHistory) {
		this._changeLog = changeLog;
		this._history = history;
	}

	/** What undoing a change would do; Left says why it cannot be undone. */
	async preview(number: number): Promise<Either<ProposalRefusal, Preview>> {
		const plan = await this._plan(number, number);
		return plan.chain(({operations, warnings}) => this._changeLog.preview(operations, 'undo')
			.map(preview => ({...preview, warnings: [...warnings, ...preview.warnings]}))
			.mapLeft((problems): ProposalRefusal => ({kind: 'invalid', problems})));
	}

	/** Proposes the undo of a change; returns the new change, or why it was refused. */
	async propose(number: number, proposal: UndoProposal): Promise<Either<ProposalRefusal, Change>> {
		const repeated = this._history.keptChangesAfter(proposal.basedOn)?.find(change => isOf(change, proposal));
		if (repeated) {
			return Right(repeated);
		}

		const plan = await this._plan(number, proposal.basedOn);
		if (plan.isLeft()) {
			return plan;
		}

		const {operations, warnings} = plan.unsafeCoerce();
		if (warnings.some(({id}) => !proposal.acknowledged?.includes(id))) {
			const preview = await this.preview(number);
			return preview.chain(shown => Left({kind: 'unacknowledged', preview: shown}));
		}

		return this._changeLog.propose({...proposal, operations, undoOf: number});
	}

	/** Plans the undo against a configuration at least as new as the one that the author had seen. */
	private async _plan(number: number, basedOn: number): Promise<Either<ProposalRefusal, Plan>> {
		if (Math.max(number, basedOn) > this._history.version) {
			await this._changeLog.catchUp();
		}

		const found = await this._changeLog.change(number);
		const later = await this._changeLog.changesAfter(number);
		if (found.isLeft() || later.isLeft()) {
			return Left(this._changeLog.unavailable('the change cannot be read while the table does not answer'));
		}

		const change = found.orDefault(undefined);
		if (change === undefined) {
			return Left({kind: 'invalid', problems: [{path: '$.number', expected: `expected the number of a change, but there is no change ${number}`}]});
		}

		return this._planOf(change, later.orDefault([]));
	}

	private _planOf(change: Change, later: readonly Change[]): Either<ProposalRefusal, Plan> {
		const {model} = this._history;
		// An entry that no longer exists need not be removed, and its removal would be refused.
		const operations = change.inverse.filter(operation => operation.op === 'put' || model[operation.kind].has(operation.name));
		return operations.length === 0
			? Left({kind: 'invalid', problems: [{path: '$.number', expected: `expected a change with something left to undo, but all entries that change ${change.number} added are removed already`}]})
			: Right({operations, warnings: overwriteWarnings(change, later)});
	}
}
