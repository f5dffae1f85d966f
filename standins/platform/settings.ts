/**
 * Settings and faults of the platform stand-in.
 */
import {z} from 'zod';
import {defaultReadsPerSecond, defaultWritesPerSecond} from './constants.js';

/** Active faults of the platform; the defaults describe a healthy platform. */
export const faultsSchema = z.strictObject({
	/** With `refused` every operation fails at once; with `silent` none is answered. */
	outage: z.enum(['none', 'refused', 'silent']).default('none'),
	/** Time that each operation takes. */
	latencyMs: z.number().min(0).default(0),
	/** Maximum of the random addition to the latency. */
	latencySpreadMs: z.number().min(0).default(0),
	/** Share of writes that take effect and whose answers are lost. */
	lostAnswerShare: z.number().min(0).max(1).default(0),
	/** Number of next writes that take effect and whose answers are lost. */
	lostAnswers: z.int().min(0).default(0),
	/** Number of writes per second above which writes are throttled. */
	writesPerSecond: z.number().positive().default(defaultWritesPerSecond),
	/** Number of reads per second above which reads are throttled. */
	readsPerSecond: z.number().positive().default(defaultReadsPerSecond),
	/** Time after which a change of the host list becomes visible. */
	hostListLagMs: z.number().min(0).default(0),
});

/** The active faults; mutable, so that a test can change them while it runs. */
export type InjectedFaults = z.infer<typeof faultsSchema>;

/** A change of some faults; faults that it does not name stay as they are, so it has no defaults, unlike the schema above. */
export const faultChangeSchema = z.strictObject({
	outage: faultsSchema.shape.outage.unwrap().optional(),
	latencyMs: faultsSchema.shape.latencyMs.unwrap().optional(),
	latencySpreadMs: faultsSchema.shape.latencySpreadMs.unwrap().optional(),
	lostAnswerShare: faultsSchema.shape.lostAnswerShare.unwrap().optional(),
	lostAnswers: faultsSchema.shape.lostAnswers.unwrap().optional(),
	writesPerSecond: faultsSchema.shape.writesPerSecond.unwrap().optional(),
	readsPerSecond: faultsSchema.shape.readsPerSecond.unwrap().optional(),
	hostListLagMs: faultsSchema.shape.hostListLagMs.unwrap().optional(),
});

/** Settings of the process of the platform stand-in. */
export const platformSettingsSchema = z.strictObject({
	host: z.string().default('127.0.0.1'),
	/** Port to listen on; zero chooses a free port. */
	port: z.int().min(0).max(65_535).default(0),
	/** Partition whose queries lag as the host list does. */
	hostsPartition: z.string().default('hosts'),
	/** Seed of the random faults. */
	seed: z.int().default(1),
	faults: faultsSchema.prefault({}),
});

export type PlatformSettings = z.infer<typeof platformSettingsSchema>;

/** Returns the faults of a healthy platform with some of them changed. */
export function makeInjectedFaults(changes: Partial<InjectedFaults> = {}): InjectedFaults {
	return faultsSchema.parse(changes);
}
