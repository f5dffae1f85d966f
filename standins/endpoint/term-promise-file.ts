/**
 * Keeps the term promise of an instance across restarts of its process, as a database keeps it on disk.
 */
import {
	existsSync, readFileSync, renameSync, writeFileSync,
} from 'node:fs';
import {z} from 'zod';
import type {TermPromise} from './types.js';

const promiseSchema = z.object({term: z.int().min(0), claimId: z.string()});

/** A file with one term promise. It is replaced atomically, before the response that carries the promise is sent. */
export class TermPromiseFile {
	private readonly _path: string;

	constructor(path: string) {
		this._path = path;
	}

	/** Reads the stored term promise; undefined if the file does not exist, which means a first start. */
	read(): TermPromise | undefined {
		return existsSync(this._path) ? promiseSchema.parse(JSON.parse(readFileSync(this._path, 'utf8'))) : undefined;
	}

	write(promise: TermPromise): void {
		const temporary = `${this._path}.new`;
		writeFileSync(temporary, JSON.stringify(promise));
		renameSync(temporary, this._path);
	}
}
