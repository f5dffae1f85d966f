/**
 * The platform's object store in memory, with injected faults.
 */
import {Right, type Either} from 'purify-ts';
import type {Objects, PlatformFault} from '../../src/common/services/services.js';
import type {FaultInjector} from './fault-injector.js';

export type StoredObject = {readonly body: string; readonly etag: string};

/** Returns a checksum that tells bodies apart well enough for tests (FNV-1a over code units, and the length). */
export function etagOf(body: string): string {
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < body.length; index++) {
		hash = Math.imul(hash ^ body.codePointAt(index)!, 0x01_00_01_93); // eslint-disable-line no-bitwise -- the hash is defined by bits.
	}

	return `"${(hash >>> 0).toString(16).padStart(8, '0')}${body.length.toString(16).padStart(8, '0')}"`; // eslint-disable-line no-bitwise
}

/** One client's view of an object store; clients of one store share its map. */
export class MemoryObjects implements Objects {
	private readonly _faultInjector: FaultInjector;
	private readonly _objects: Map<string, StoredObject>;

	constructor(faultInjector: FaultInjector, objects = new Map<string, StoredObject>()) {
		this._faultInjector = faultInjector;
		this._objects = objects;
	}

	async get(key: string): Promise<Either<PlatformFault, StoredObject | undefined>> {
		return this._faultInjector.run('read', () => Right(this._objects.get(key)));
	}

	async put(key: string, body: string): Promise<Either<PlatformFault, {readonly etag: string}>> {
		return this._faultInjector.run('write', () => {
			const stored = {body, etag: etagOf(body)};
			this._objects.set(key, stored);
			return Right({etag: stored.etag});
		});
	}
}
