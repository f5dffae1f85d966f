/**
 * Settings of the process that stands in for all nodes except the measured one.
 */
import {z} from 'zod';

const hostLocationSchema = z.strictObject({name: z.string(), availabilityZone: z.string(), region: z.string()});

/** Schema of the settings file. */
export const crowdSettingsSchema = z.strictObject({
	platformUrl: z.url(),
	hosts: z.array(hostLocationSchema),
	/** The node that is measured. */
	subject: hostLocationSchema.extend({
		peerHost: z.string(), peerPort: z.int(), operatorPort: z.int(), isLeaving: z.boolean(), incarnation: z.string(),
	}),
	/** Number of times per second that the crowd compares its configuration version with the subject's. */
	comparisonsPerS: z.number().positive(),
	/** Time between two requests of each host over its own link to the subject; if undefined, the links stay closed. */
	linkUseMs: z.number().positive().optional(),
});

/** Settings of the crowd. */
export type CrowdSettings = z.output<typeof crowdSettingsSchema>;
