/**
 * The schema of a deployment: zones, nodes, groups and endpoints of a whole system, as the
 * demo, the benchmarks and the soak runs start it on one machine.
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
	/** The first is primary at the first start. */
	endpoints: z.array(zonedNameSchema.extend({labels: labelsField})).min(1),
});

const serviceSchema = z.strictObject({name: nameField, labels: labelsField, groups: z.array(groupSchema).min(1)});

const delaysSchema = z.strictObject({
	/** One way, between two zones. */
	betweenZonesMs: durationField,
	/** One way, between callers and nodes. */
	callersMs: durationField,
});

/** What every endpoint of the deployment is like. */
const endpointSchema = z.strictObject({
	...credentialsFields,
	/** Statements that run at one time. */
	slots: countField,
	/** Connections that are accepted, control connections included. */
	connections: countField,
	/** Time that a new connection takes. */
	connectMs: durationField,
	/** Time that a statement takes beside its own work. */
	serviceMs: durationField,
	/** Delay of a replica behind the primary. */
	lag: z.strictObject({p50Ms: durationField, p99Ms: durationField}),
});

type ZonedName = {readonly name: string; readonly availabilityZone: string};

/** A whole deployment. */
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
	const places: Array<[readonly ZonedName[], Array<string | number>]> = [
		[deployment.nodes, ['nodes']],
		...groups.map(({group, path}): [readonly ZonedName[], Array<string | number>] => [group.endpoints, [...path, 'endpoints']]),
	];
	for (const [placed, path] of places) {
		for (const [index, {availabilityZone}] of placed.entries()) {
			if (!deployment.zones.includes(availabilityZone)) {
				context.addIssue({
					code: 'custom', path: [...path, index, 'availabilityZone'], message: 'one of the zones of the deployment', input: availabilityZone,
				});
			}
		}
	}
});

/** A whole deployment. */
export type Deployment = z.output<typeof deploymentSchema>;

/** Endpoints of a deployment with the groups they belong to. */
export function endpointsOf(deployment: Deployment): ReadonlyArray<ZonedName & {readonly group: string; readonly isFirst: boolean}> {
	return deployment.services.flatMap(service => service.groups.flatMap(group => group.endpoints.map((endpoint, index) => ({
		name: endpoint.name,
		availabilityZone: endpoint.availabilityZone,
		group: group.name,
		isFirst: index === 0,
	}))));
}
