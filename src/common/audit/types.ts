/**
 * Types of the audit trail.
 */
import {z} from 'zod';
import type {
	AuditEntry, Clock, Log, Metrics, Random, Table,
} from '../services/services.js';

/** An entry with the time and the node of its recording. */
export const auditRecordSchema = z.object({
	actor: z.string(),
	act: z.string(),
	subject: z.string(),
	basis: z.string(),
	outcome: z.string(),
	/** Wall clock of the node, milliseconds since 1970. */
	atMs: z.int().min(0),
	/** Name and incarnation of the node. */
	node: z.string(),
	/** Number of the entry on that incarnation; gaps are dropped entries. */
	sequence: z.int().positive(),
}) satisfies z.ZodType<AuditEntry>;

export type AuditRecord = z.infer<typeof auditRecordSchema>;

/** One page of the trail, newest entries first. */
export type AuditPage = {
	readonly records: readonly AuditRecord[];
	/** Cursor of the next page; undefined when the days that were searched hold no more entries. */
	readonly next: string | undefined;
};

/** Services that the trail uses. */
export type AuditServices = {
	readonly table: Table;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};
