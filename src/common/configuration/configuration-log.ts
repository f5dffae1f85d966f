/**
 * The log of changes in the platform's table. A change is accepted by the conditional write of
 * the item with the next number, and by nothing else.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import type {
	Audit, Clock, Log, Metrics, Objects, PlatformFault, Table, TableItem,
} from '../services/services.js';
import {pauseFor} from '../lifecycle/timing.js';
import type {ChangeHistory} from './change-history.js';
import {changeLogDefaults, configurationLimits} from './constants.js';
import {parseChange, summariseOperations} from './change-text.js';
import {applyOperations} from './model.js';
import {previewChange} from './preview.js';
import {parseWith, type Problem} from './problems.js';
import {changeSchema, type Change, type Operation} from './schema.js';
import type {
	Preview, PrimaryLookup, Proposal, ProposalRefusal,
} from './types.js';

/** What the log needs from the rest of the node. */
export type ConfigurationLogServices = {
	readonly table: Table;
	readonly objects: Objects;
	readonly history: ChangeHistory;
	readonly audit: Audit;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	/** The primary of a group in the view of this node; used for warnings only. */
	readonly currentPrimary: PrimaryLookup;
};

/** How the conditional write of a number ended; `taken` means that another change has the number. */
type WriteOutcome = 'accepted' | 'taken' | 'refused' | 'unknown';

function sortKey(number: number): string {
	return String(number).padStart(changeLogDefaults.sortDigits, '0');
}

/** Removes the rank (`changedIn`) of a rule from an operator's operation; only an undo may restore it. */
function withoutRank(operation: Operation): Operation {
	return operation.op === 'put' && operation.kind === 'rule'
		? {...operation, value: {...operation.value, changedIn: undefined}}
		: operation;
}

/** Reads the log of changes and proposes new ones. */
export class ConfigurationLog implements Disposable {
	/** Fires with the number of a change whose write by this node was accepted. */
	readonly onAccepted: Event<number>;
	private readonly _onAccepted = new Emitter<number>();
	private readonly _services: ConfigurationLogServices;
	private readonly _options: typeof changeLogDefaults;

	constructor(services: ConfigurationLogServices, options: Partial<typeof changeLogDefaults> = {}) {
		this._services = services;
		this._options = {...changeLogDefaults, ...options};
		this.onAccepted = this._onAccepted.event;
	}

	/** What a change would do to the configuration in force on this node; Left lists why it is invalid. */
	preview(operations: readonly Operation[], origin: 'operator' | 'undo' = 'operator'): Either<readonly Problem[], Preview> {
		const {history, currentPrimary} = this._services;
		const effective = origin === 'undo' ? operations : operations.map(operation => withoutRank(operation));
		return previewChange(history.version, history.model, effective, currentPrimary);
	}

	/** Reads and applies every change that the table has; returns the number in force afterwards. */
	async catchUp(): Promise<Either<PlatformFault, number>> {
		const {history} = this._services;
		if (history.version === 0) {
			await this._loadSnapshot();
		}

		for (;;) {
			const before = history.version;
			const page = await this._readAfter(before);
			if (page.isLeft()) {
				return page;
			}

			const texts = page.orDefault([]).map(({body}) => body);
			history.applyChanges(texts);
			if (texts.length < this._options.pageSize || history.version === before) {
				return Right(history.version);
			}
		}
	}

	/** Proposes a change; idempotent, since proposals of one author with the same `changeId` take effect at most once. */
	async propose(proposal: Proposal): Promise<Either<ProposalRefusal, Change>> {
		const operations = proposal.undoOf === undefined
			? proposal.operations.map(operation => withoutRank(operation))
			: proposal.operations;
		const result = await this._propose({...proposal, operations});
		this._report(proposal, result);
		return result;
	}

	/** The change with a number; undefined when the log has none. */
	async change(number: number): Promise<Either<PlatformFault, Change | undefined>> {
		const known = this._services.history.keptChangesAfter(number - 1)?.[0];
		if (known) {
			return Right(known);
		}

		const item = await this._services.table.get(this._options.partition, sortKey(number));
		return item.map(found => found && parseChange(found.body));
	}

	/** The changes after a number, oldest first, at most one page of them. */
	async changesAfter(number: number): Promise<Either<PlatformFault, readonly Change[]>> {
		const known = this._services.history.keptChangesAfter(number);
		if (known && known.length > 0) {
			return Right(known.slice(0, this._options.pageSize));
		}

		const items = await this._readAfter(number);
		return items.map(list => list.map(({body}) => parseChange(body)).filter(change => change !== undefined));
	}

	/** The refusal of a proposal while the table is unavailable; `detail` says what could not be done. */
	unavailable(detail: string): ProposalRefusal {
		return {kind: 'unavailable', retryAfterMs: this._options.retryAfterMs, detail};
	}

	dispose(): void {
		this._onAccepted.dispose();
	}

	private async _readAfter(number: number): Promise<Either<PlatformFault, readonly TableItem[]>> {
		return this._services.table.query(this._options.partition, sortKey(number), this._options.pageSize);
	}

	private async _propose(proposal: Proposal): Promise<Either<ProposalRefusal, Change>> {
		const repeated = this._findRepeated(proposal);
		if (repeated) {
			return Right(repeated);
		}

		const current = await this.catchUp();
		if (current.isLeft()) {
			return Left(this.unavailable('the table does not answer, so nothing can be accepted'));
		}

		const conflict = await this._checkConflicts(proposal);
		if (conflict) {
			return conflict;
		}

		const checked = this._buildChange(proposal);
		return checked.isLeft() ? checked : this._accept(checked.unsafeCoerce());
	}

	/** The accepted change with the identity of the proposal, if this node knows it; undefined otherwise. */
	private _findRepeated(proposal: Proposal): Change | undefined {
		return this._services.history.keptChangesAfter(proposal.basedOn)?.find(change => isOf(change, proposal));
	}

	/** Checks what was accepted since the basis of a proposal: Left if that rules it out, Right if it was the proposal itself, undefined when it may go on. */
	private async _checkConflicts(proposal: Proposal): Promise<Either<ProposalRefusal, Change> | undefined> {
		const {version} = this._services.history;
		if (proposal.basedOn === version) {
			return undefined;
		}

		if (proposal.basedOn > version) {
			return Left({kind: 'invalid', problems: [{path: '$.basedOn', expected: `expected at most ${version}, the number of the last change`}]});
		}

		const later = await this.changesAfter(proposal.basedOn);
		if (later.isLeft()) {
			return Left(this.unavailable('the table does not answer, so nothing can be accepted'));
		}

		const changes = later.orDefault([]);
		const own = changes.find(accepted => isOf(accepted, proposal));
		return own ? Right(own) : Left({kind: 'conflict', version, changes});
	}

	/** Validates a proposal and builds the change to write; Left says why it may not be written. */
	private _buildChange(proposal: Proposal): Either<ProposalRefusal, Change> {
		const {history, clock, currentPrimary} = this._services;
		const number = history.version + 1;
		const preview = previewChange(history.version, history.model, proposal.operations, currentPrimary);
		if (preview.isLeft()) {
			return preview.mapLeft(problems => ({kind: 'invalid', problems}));
		}

		const {warnings} = preview.unsafeCoerce();
		if (warnings.some(({id}) => !proposal.acknowledged?.includes(id))) {
			return Left({kind: 'unacknowledged', preview: preview.unsafeCoerce()});
		}

		return applyOperations(history.model, proposal.operations, number)
			.chain(({inverse}) => parseWith(changeSchema, {
				number,
				changeId: proposal.changeId,
				author: proposal.author,
				basedOn: proposal.basedOn,
				at: new Date(clock.wallClockMs()).toISOString(),
				note: proposal.note,
				operations: proposal.operations,
				inverse,
				undoOf: proposal.undoOf,
				acknowledged: proposal.acknowledged ?? [],
			}))
			.mapLeft(problems => ({kind: 'invalid', problems}));
	}

	/** Writes the change with the next number and applies it if the write is accepted. */
	private async _accept(change: Change): Promise<Either<ProposalRefusal, Change>> {
		const body = JSON.stringify(change);
		if (body.length > configurationLimits.changeSizeBytes) {
			return Left({kind: 'invalid', problems: [{path: '$.operations', expected: `expected at most ${configurationLimits.changeSizeBytes} bytes with the inverse operations; split the change`}]});
		}

		const outcome = await this._write(change, body);
		const outcomeHandlers: Record<WriteOutcome, () => Either<ProposalRefusal, Change> | Promise<Either<ProposalRefusal, Change>>> = {
			accepted: () => this._applyAccepted(change, body),
			taken: async () => this._resolveTaken(change),
			refused: () => Left(this.unavailable('the table does not accept writes at the moment')),
			unknown: () => Left(this._unknownOutcome()),
		};
		return outcomeHandlers[outcome]();
	}

	/** Writes the item on the condition that its number is free; if an answer is lost, writing the same item again finds the outcome. */
	private async _write(change: Change, body: string): Promise<WriteOutcome> {
		const {table, clock} = this._services;
		const item = {
			partition: this._options.partition, sort: sortKey(change.number), changeId: change.changeId, body,
		};
		let outcome: WriteOutcome = 'refused';
		for (let attempt = 1; attempt <= this._options.putAttempts; attempt++) {
			const result = await table.put(item, 0);
			if (result.isRight()) {
				// The table takes an item with the same identifier for this one; it may be another change that was given the same.
				return result.unsafeCoerce().body === body ? 'accepted' : 'taken';
			}

			const fault = result.swap().unsafeCoerce();
			if (fault.kind === 'conditionFailed') {
				return 'taken';
			}

			if (fault.kind === 'unavailable') {
				outcome = 'unknown';
			}

			await pauseFor(clock, this._options.putPauseMs);
		}

		return outcome;
	}

	/** The number has been taken: returns the own change if an earlier write put it there, otherwise the conflict. */
	private async _resolveTaken(change: Change): Promise<Either<ProposalRefusal, Change>> {
		await this.catchUp();
		const later = await this.changesAfter(change.basedOn);
		if (later.isLeft()) {
			return Left(this._unknownOutcome());
		}

		const changes = later.orDefault([]);
		const own = changes.find(accepted => isOf(accepted, change));
		return own ? Right(own) : Left({kind: 'conflict', version: this._services.history.version, changes});
	}

	private _unknownOutcome(): ProposalRefusal {
		return {kind: 'unknown', retryAfterMs: this._options.retryAfterMs, detail: 'the table did not say whether the change took effect; send it again with the same changeId'};
	}

	private _applyAccepted(change: Change, body: string): Either<ProposalRefusal, Change> {
		this._services.history.applyChanges([body]);
		this._onAccepted.fire(change.number);
		if (change.number % this._options.snapshotInterval === 0) {
			// The result is ignored: without this snapshot a starting node only reads more of the log.
			void this._services.objects.put(this._options.snapshotKey, this._services.history.snapshotText());
		}

		// Returns the change as every reader sees it, after a round trip through JSON.
		return Right(parseChange(body) ?? change);
	}

	private async _loadSnapshot(): Promise<void> {
		const snapshot = await this._services.objects.get(this._options.snapshotKey);
		const body = snapshot.orDefault(undefined)?.body;
		if (body !== undefined) {
			this._services.history.applySnapshot(body);
		}
	}

	private _report(proposal: Proposal, result: Either<ProposalRefusal, Change>): void {
		const outcome = result.isRight() ? 'accepted' : result.swap().unsafeCoerce().kind;
		const number = result.isRight() ? result.unsafeCoerce().number : undefined;
		this._services.metrics.count('configurationProposalsTotal', {outcome});
		this._services.log.event('configurationProposed', {
			author: proposal.author, changeId: proposal.changeId, basedOn: proposal.basedOn, outcome, number,
		});
		this._services.audit.record({
			actor: proposal.author,
			act: proposal.undoOf === undefined ? 'configuration.change' : 'configuration.undo',
			subject: `${number === undefined ? `proposal ${proposal.changeId}` : `change ${number}`}: ${summariseOperations(proposal.operations)}`,
			basis: `based on change ${proposal.basedOn}`,
			outcome,
		});
	}
}

/** Whether an accepted change is the one that was proposed. Authors choose identifiers, so two of them may choose the same. */
export function isOf({changeId, author}: Change, proposal: Pick<Proposal, 'changeId' | 'author'>): boolean {
	return changeId === proposal.changeId && author === proposal.author;
}
