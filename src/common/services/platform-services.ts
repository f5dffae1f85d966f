/**
 * Interfaces of the platform: table, object store and host list.
 */
import type {Either} from 'purify-ts';
import type {Host} from './node-services.js';

/** Why a request to the platform failed. */
export type PlatformFault = {
	/** `conditionFailed`: certainly not applied. `unavailable`: may or may not have been applied. `throttled`: not applied. */
	readonly kind: 'conditionFailed' | 'unavailable' | 'throttled' | 'invalid';
	readonly detail: string;
};

/** An item of the table: a partition key, a sort key and a JSON body. */
export type TableItem = {
	readonly partition: string;
	readonly sort: string;
	/** Increases by one with every write of the item. */
	readonly revision: number;
	/** Identity of the change that wrote the item; after a lost answer, reading it shows whether the write took effect. */
	readonly changeId: string;
	readonly body: string;
	/** Time on the platform's clock after which the platform may delete the item; undefined if it does not expire. */
	readonly expiresAtMs?: number;
};

/** The platform's transactional table service. */
export type Table = {
	get(partition: string, sort: string): Promise<Either<PlatformFault, TableItem | undefined>>;
	/** Items of a partition with sort keys after one, in order, at most `limit`. */
	query(partition: string, afterSort: string, limit: number): Promise<Either<PlatformFault, readonly TableItem[]>>;
	/**
	 * Writes an item if its revision is still `expectedRevision` (0: absent). A write of
	 * the same change identity that took effect before counts as done.
	 */
	put(item: Omit<TableItem, 'revision'>, expectedRevision: number): Promise<Either<PlatformFault, TableItem>>;
	/** Writes several items atomically. */
	putAll(items: ReadonlyArray<{readonly item: Omit<TableItem, 'revision'>; readonly expectedRevision: number}>): Promise<Either<PlatformFault, void>>;
};

/** The platform's object store. */
export type Objects = {
	get(key: string): Promise<Either<PlatformFault, {readonly body: string; readonly etag: string} | undefined>>;
	put(key: string, body: string): Promise<Either<PlatformFault, {readonly etag: string}>>;
};

/** The platform's list of live and leaving hosts, which lags behind their real state. */
export type HostList = {
	read(): Promise<Either<PlatformFault, readonly Host[]>>;
	/** Registers this host; the platform removes the registration if it is not renewed. */
	register(host: Host): Promise<Either<PlatformFault, void>>;
};
