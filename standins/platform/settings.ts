/**
 * Settings and faults of the platform stand-in.
 */
import {z} from 'zod';
import {defaultReadsPerSecond, defaultWritesPerSecond} from './constants.js';

/** What is wrong with the platform at the moment; the defaults are a healthy one. */
export const faultsSchema = z.strictObject({
	/** `refused` answers at once with an error, `silent` never answers. */
	outage: z.enum(['none', 'refused', 'silent']).default('none'),
	/** Time each operation takes. */
	latencyMs: z.number().min(0).default(0),
	/** Largest random addition to the latency. */
	latencySpreadMs: z.number().min(0).default(0),
	/** Share of writes that take effect and whose answer is lost. */
	lostAnswerShare: z.number().min(0).max(1).default(0),
	/** Number of next writes that take effect and whose answer is lost. */
	lostAnswers: z.int().min(0).default(0),
	/** Writes a second beyond which writes are throttled. */
	writesPerSecond: z.number().positive().default(defaultWritesPerSecond),
	/** Reads a second beyond which reads are throttled. */
	readsPerSecond: z.number().positive().default(defaultReadsPerSecond),
	/** Time until a change of the host list becomes visible. */
	hostListLagMs: z.number().min(0).default(0),
});

/** The faults in force; mutable, so that a test changes them while it runs. */
export type InjectedFaults = z.infer<typeof faultsSchema>;

/** A change of some faults; what is not named stays. No defaults, unlike the schema above. */
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

/** Settings of the stand-in's process. */
export const platformSettingsSchema = z.strictObject({
	host: z.string().default('127.0.0.1'),
	/** Zero chooses a free port. */
	port: z.int().min(0).max(65_535).default(0),
	/** Partition of the table whose queries lag as the host list does. */
	hostsPartition: z.string().default('hosts'),
	/** Seed of the random faults. */
	seed: z.int().default(1),
	faults: faultsSchema.prefault({}),
});

export type PlatformSettings = z.infer<typeof platformSettingsSchema>;

/** The faults of a healthy platform, with some of them changed. */
export function makeInjectedFaults(changes: Partial<InjectedFaults> = {}): InjectedFaults {
	return faultsSchema.parse(changes);
}
