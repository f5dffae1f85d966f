/**
 * The changes that this node knows, and the configuration that results from applying them.
 * The number of the change in force never decreases.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {ChangeBatch, Invariants, Log} from '../services/services.js';
import {historyDefaults} from './constants.js';
import {
	applyOperations, emptyModel, fromDocument, toDocument, type ConfigurationModel,
} from './model.js';
import {parseJsonWith, type Problem} from './problems.js';
import {changeSchema, snapshotSchema, type Change} from './schema.js';

type KnownChange = {readonly change: Change; readonly text: string};

/** Keeps the newest changes for peers that lag behind, and a snapshot for those that lag further than these changes reach. */
export class ChangeHistory implements Disposable {
	/** Fires once per applied batch of changes, with the new number in force. */
	readonly onChange: Event<number>;
	private readonly _onChange = new Emitter<number>();
	private readonly _invariants: Invariants;
	private readonly _log: Log;
	private readonly _options: typeof historyDefaults;
	private _version = 0;
	private _model: ConfigurationModel = emptyModel;
	private _recent: KnownChange[] = [];
	private _snapshot: {readonly version: number; readonly text: string} | undefined;
	private _unreadableNumber = 0;

	constructor(invariants: Invariants, log: Log, options: Partial<typeof historyDefaults> = {}) {
		this._invariants = invariants;
		this._log = log;
		this._options = {...historyDefaults, ...options};
		this.onChange = this._onChange.event;
	}

	/** Number of the last change in force; zero before the first. */
	get version(): number {
		return this._version;
	}

	get model(): ConfigurationModel {
		return this._model;
	}

	/** Applies changes in order, skips those that are known already, and stops with a Left at the first that cannot be applied; Right is the number in force. */
	applyChanges(texts: readonly string[]): Either<readonly Problem[], number> {
		const before = this._version;
		let result: Either<readonly Problem[], number> = Right(before);
		for (const text of texts) {
			result = this._apply(text);
			if (result.isLeft()) {
				break;
			}
		}

		this._publish(before);
		return result;
	}

	/** Applies a snapshot if it is newer than the configuration in force; returns the number in force afterwards, or Left if it cannot be read. */
	applySnapshot(text: string): Either<readonly Problem[], number> {
		const before = this._version;
		const result = parseJsonWith(snapshotSchema, text).chain(({number, document}) => {
			if (number <= this._version) {
				return Right(this._version);
			}

			return fromDocument(document).map(model => {
				this._advanceTo(number, model);
				this._recent = [];
				return number;
			});
		});
		result.ifLeft(problems => {
			this._log.event('configurationUnreadable', {what: 'snapshot', problems: problems.slice(0, 3)});
		});
		this._publish(before);
		return result;
	}

	/** The changes that a peer with changes up to a number lacks, or a snapshot if they are no longer kept. */
	changesAfter(afterNumber: number): ChangeBatch {
		if (afterNumber >= this._version) {
			return {version: this._version, changes: []};
		}

		const known = this._recent.filter(({change}) => change.number > afterNumber);
		if (known[0]?.change.number !== afterNumber + 1) {
			return {version: this._version, changes: [], snapshot: this.snapshotText()};
		}

		return {version: this._version, changes: this._batchOf(known)};
	}

	/** The changes after a number; undefined when some of them are no longer kept. */
	keptChangesAfter(afterNumber: number): readonly Change[] | undefined {
		if (afterNumber >= this._version) {
			return [];
		}

		const changes = this._recent.map(({change}) => change).filter(change => change.number > afterNumber);
		return changes[0]?.number === afterNumber + 1 ? changes : undefined;
	}

	/** JSON of the whole configuration and the number of its last change; cached for each version. */
	snapshotText(): string {
		if (this._snapshot?.version !== this._version) {
			const text = JSON.stringify({number: this._version, document: toDocument(this._model)});
			this._snapshot = {version: this._version, text};
		}

		return this._snapshot.text;
	}

	dispose(): void {
		this._onChange.dispose();
	}

	private _apply(text: string): Either<readonly Problem[], number> {
		return parseJsonWith(changeSchema, text)
			.chain(change => this._applyChange(change, text))
			.ifLeft(problems => {
				this._reportUnreadable(problems);
			});
	}

	private _applyChange(change: Change, text: string): Either<readonly Problem[], number> {
		if (change.number <= this._version) {
			return Right(this._version);
		}

		if (change.number !== this._version + 1) {
			return Left([{path: '$.number', expected: `expected ${this._version + 1}, the next number`}]);
		}

		return applyOperations(this._model, change.operations, change.number).map(({model}) => {
			this._advanceTo(change.number, model);
			this._recent.push({change, text});
			this._recent = this._recent.slice(-this._options.recentChanges);
			return change.number;
		});
	}

	private _advanceTo(number: number, model: ConfigurationModel): void {
		const isForward = this._invariants.check('configurationForward', number > this._version, () => `from ${this._version} to ${number}`);
		if (isForward) {
			this._version = number;
			this._model = model;
		}
	}

	private _publish(before: number): void {
		if (this._version > before) {
			this._log.event('configurationInForce', {version: this._version, before});
			this._onChange.fire(this._version);
		}
	}

	/** A change that only a newer release can read stops this node at the number before it; logged once per number. */
	private _reportUnreadable(problems: readonly Problem[]): void {
		if (this._unreadableNumber === this._version + 1) {
			return;
		}

		this._unreadableNumber = this._version + 1;
		this._log.event('configurationUnreadable', {what: 'change', number: this._unreadableNumber, problems: problems.slice(0, 3)});
	}

	private _batchOf(known: readonly KnownChange[]): readonly string[] {
		const texts: string[] = [];
		let sizeBytes = 0;
		for (const {text} of known) {
			sizeBytes += text.length;
			const isFull = texts.length >= this._options.batchChanges || sizeBytes > this._options.batchSizeBytes;
			if (isFull && texts.length > 0) {
				break;
			}

			texts.push(text);
		}

		return texts;
	}
}
