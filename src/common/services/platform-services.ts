/**
 * The platform: table, object store and host list.
 */
import type {Either} from 'purify-ts';
import type {Host} from './node-services.js';

/** Why the platform did not answer as asked. */
export type PlatformFault = {
	/** `conditionFailed`: certainly not applied. `unavailable`: the outcome may be either. `throttled`: not applied. */
	readonly kind: 'conditionFailed' | 'unavailable' | 'throttled' | 'invalid';
	readonly detail: string;
};

/** An item of the table: a partition key, a sort key and a JSON body. */
export type TableItem = {
	readonly partition: string;
	readonly sort: string;
	/** Grows by one with every write of the item. */
	readonly revision: number;
	/** Identity of the change that wrote it; finds the outcome of a lost answer by reading. */
	readonly changeId: string;
	readonly body: string;
	/** Time on the platform's clock after which the platform may delete the item; undefined keeps it. */
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
	/** Writes several items, all or none. */
	putAll(items: ReadonlyArray<{readonly item: Omit<TableItem, 'revision'>; readonly expectedRevision: number}>): Promise<Either<PlatformFault, void>>;
};

/** The platform's object store. */
export type Objects = {
	get(key: string): Promise<Either<PlatformFault, {readonly body: string; readonly etag: string} | undefined>>;
	put(key: string, body: string): Promise<Either<PlatformFault, {readonly etag: string}>>;
};

/** The platform's list of live and leaving hosts; it lags. */
export type HostList = {
	read(): Promise<Either<PlatformFault, readonly Host[]>>;
	/** Registers this host; the platform keeps the registration while it is renewed. */
	register(host: Host): Promise<Either<PlatformFault, void>>;
};
