/**
 * The schema of a deployment: zones, nodes, groups and endpoints of a whole system, which the
 * demo, the benchmarks and the soak runs start on one machine.
 */
import {z} from 'zod';
import {documentSchema} from '../configuration/schema.js';
import {settingsBounds} from './constants.js';
import {
	countField, credentialsFields, labelsField, nameField,
} from './fields.js';

const durationField = z.number().min(0).max(settingsBounds.maximumDurationMs);

const zonedNameSchema = z.strictObject({name: nameField, availabilityZone: nameField});

const groupSchema = z.strictObject({
	name: nameField,
	labels: labelsField,
	/** The first one is primary when the deployment starts for the first time. */
	endpoints: z.array(zonedNameSchema.extend({labels: labelsField})).min(1),
});

const serviceSchema = z.strictObject({name: nameField, labels: labelsField, groups: z.array(groupSchema).min(1)});

const delaysSchema = z.strictObject({
	/** One-way delay between two zones. */
	betweenZonesMs: durationField,
	/** One-way delay between callers and nodes. */
	callersMs: durationField,
});

/** Properties that all endpoints of the deployment have in common. */
const endpointSchema = z.strictObject({
	...credentialsFields,
	/** Maximum number of statements that run concurrently. */
	slots: countField,
	/** Maximum number of connections, including control connections. */
	connections: countField,
	/** Time that it takes to open a connection. */
	connectMs: durationField,
	/** Time that each statement takes in addition to its own work. */
	serviceMs: durationField,
	/** Replication lag: percentiles of the delay of a replica behind the primary. */
	lag: z.strictObject({p50Ms: durationField, p99Ms: durationField}),
});

type ZonedName = {readonly name: string; readonly availabilityZone: string};

/** Schema of a deployment; every zone that a node or an endpoint names must be listed in `zones`. */
export const deploymentSchema = z.strictObject({
	name: nameField,
	region: nameField,
	zones: z.array(nameField).min(1),
	delays: delaysSchema,
	nodes: z.array(zonedNameSchema).min(1),
	services: z.array(serviceSchema).min(1),
	endpoint: endpointSchema,
	callers: z.array(z.strictObject({...credentialsFields, labels: labelsField})).min(1),
	operators: z.array(z.strictObject(credentialsFields)).min(1),
	tokenKey: z.string().min(settingsBounds.tokenKeyLength),
	rules: documentSchema.shape.rules,
}).superRefine((deployment, context) => {
	const groups = deployment.services.flatMap((service, serviceIndex) =>
		service.groups.map((group, groupIndex) => ({group, path: ['services', serviceIndex, 'groups', groupIndex]})));
	const zonedLists: Array<[readonly ZonedName[], Array<string | number>]> = [
		[deployment.nodes, ['nodes']],
		...groups.map(({group, path}): [readonly ZonedName[], Array<string | number>] => [group.endpoints, [...path, 'endpoints']]),
	];
	for (const [zonedNames, path] of zonedLists) {
		for (const [index, {availabilityZone}] of zonedNames.entries()) {
			if (!deployment.zones.includes(availabilityZone)) {
				context.addIssue({
					code: 'custom', path: [...path, index, 'availabilityZone'], message: 'one of the zones of the deployment', input: availabilityZone,
				});
			}
		}
	}
});

/** A deployment, defaults filled in. */
export type Deployment = z.output<typeof deploymentSchema>;

/** Endpoints of a deployment with their groups; the first endpoint of each group is its initial primary. */
export function endpointsOf(deployment: Deployment): ReadonlyArray<ZonedName & {readonly group: string; readonly isInitialPrimary: boolean}> {
	return deployment.services.flatMap(service => service.groups.flatMap(group => group.endpoints.map((endpoint, index) => ({
		name: endpoint.name,
		availabilityZone: endpoint.availabilityZone,
		group: group.name,
		isInitialPrimary: index === 0,
	}))));
}
