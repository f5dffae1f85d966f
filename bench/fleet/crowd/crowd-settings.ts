/**
 * Settings of the process that stands in for all other nodes.
 */
import {z} from 'zod';

const placeSchema = z.strictObject({name: z.string(), availabilityZone: z.string(), region: z.string()});

/** What the settings file holds. */
export const crowdSettingsSchema = z.strictObject({
	platformUrl: z.url(),
	hosts: z.array(placeSchema),
	/** The node that is measured. */
	subject: placeSchema.extend({
		peerHost: z.string(), peerPort: z.int(), operatorPort: z.int(), isLeaving: z.boolean(), incarnation: z.string(),
	}),
	/** Comparisons with the subject in a second. */
	comparisonsPerS: z.number().positive(),
	/** Time between two questions of each host over its own link; undefined leaves the links closed. */
	linkUseMs: z.number().positive().optional(),
});

/** Settings of the crowd. */
export type CrowdSettings = z.output<typeof crowdSettingsSchema>;
