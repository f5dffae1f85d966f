/**
 * A store that reports each response's version to the restore watch before the caller receives the
 * response.
 */
import type {Either} from 'purify-ts';
import type {
	ConditionalWrite, PlatformFault, RowStore, StoredRows,
} from '../services/services.js';
import type {RestoreWatch} from './restore-watch.js';

/** Forwards calls to another store and observes the versions of its responses. */
export class VersionObservingStore implements RowStore {
	private readonly _store: RowStore;
	private readonly _restores: RestoreWatch;

	constructor(store: RowStore, restores: RestoreWatch) {
		this._store = store;
		this._restores = restores;
	}

	async read(table: string, partition: string): Promise<Either<PlatformFault, StoredRows>> {
		return this._observeVersion(await this._store.read(table, partition));
	}

	async follow(table: string, afterVersion: number, waitMs: number): Promise<Either<PlatformFault, StoredRows>> {
		return this._observeVersion(await this._store.follow(table, afterVersion, waitMs));
	}

	async write(write: ConditionalWrite): Promise<Either<PlatformFault, {readonly version: number; readonly storeNowMs: number}>> {
		return this._observeVersion(await this._store.write(write));
	}

	private _observeVersion<Answer extends {readonly version: number}>(answer: Either<PlatformFault, Answer>): Either<PlatformFault, Answer> {
		return answer.ifRight(({version}) => {
			this._restores.note(version);
		});
	}
}
