/**
 * Keeps an instance's promise over a restart of its process, as a database keeps it on disk.
 */
import {
	existsSync, readFileSync, renameSync, writeFileSync,
} from 'node:fs';
import {z} from 'zod';
import type {TermPromise} from './types.js';

const promiseSchema = z.object({term: z.int().min(0), claimId: z.string()});

/** One small file, replaced as a whole before the promise is answered. */
export class TermPromiseFile {
	private readonly _path: string;

	constructor(path: string) {
		this._path = path;
	}

	/** The stored promise; undefined at a first start. */
	read(): TermPromise | undefined {
		return existsSync(this._path) ? promiseSchema.parse(JSON.parse(readFileSync(this._path, 'utf8'))) : undefined;
	}

	write(promise: TermPromise): void {
		const temporary = `${this._path}.new`;
		writeFileSync(temporary, JSON.stringify(promise));
		renameSync(temporary, this._path);
	}
}
