/**
 * Types of the audit trail.
 */
import {z} from 'zod';
import type {
	AuditEntry, Clock, Log, Metrics, Random, Table,
} from '../services/services.js';

/** An entry with when and where it was made. */
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

/** Part of the trail, newest entries first. */
export type AuditPage = {
	readonly records: readonly AuditRecord[];
	/** Where the next page begins; undefined when the days looked into hold no more. */
	readonly next: string | undefined;
};

/** What the trail uses. */
export type AuditServices = {
	readonly table: Table;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};
