/**
 * Expands a deployment into the settings of every process of it and the configuration
 * that is in force at its start.
 */
import {
	diffModels, emptyModel, fromDocument,
} from '../configuration/model.js';
import type {Problem} from '../configuration/problems.js';
import type {ConfigurationDocument, Operation} from '../configuration/schema.js';
import {endpointsOf, type Deployment} from './deployment-schema.js';
import type {SettingsInput} from './settings-schema.js';

/** Where the processes of a deployment listen. */
export type ListenAddresses = {
	readonly platform: {readonly host: string; readonly port: number};
	readonly nodes: ReadonlyMap<string, NodeAddresses>;
	readonly endpoints: ReadonlyMap<string, EndpointAddresses>;
};

/** Where one node listens. */
export type NodeAddresses = {
	readonly host: string;
	readonly callersPort: number;
	readonly peersPort: number;
	readonly operatorsPort: number;
};

/** Where one endpoint stand-in listens; the control port takes orders to fail. */
export type EndpointAddresses = {
	readonly host: string;
	readonly port: number;
	readonly controlPort: number;
};

/** Settings of one endpoint stand-in. */
export type EndpointStandInSettings = {
	readonly name: string;
	readonly group: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
	readonly controlPort: number;
	readonly slots: number;
	readonly connections: number;
	readonly connectCostMs: number;
	readonly serviceTimeMs: number;
	readonly lag: {readonly p50Ms: number; readonly p99Ms: number};
	readonly seed: number;
	readonly user: string;
	readonly password: string;
	readonly initialPrimary: string;
	readonly peers: ReadonlyArray<{readonly name: string; readonly host: string; readonly port: number}>;
};

/** Settings of the platform stand-in. */
export type PlatformStandInSettings = {
	readonly host: string;
	readonly port: number;
	readonly seed: number;
};

/** Settings of every process of a deployment. */
export type DeploymentPlan = {
	readonly platform: PlatformStandInSettings;
	readonly endpoints: readonly EndpointStandInSettings[];
	readonly nodes: readonly SettingsInput[];
	/** The configuration that is proposed first. */
	readonly document: ConfigurationDocument;
};

/** Options of a plan. */
export type PlanOptions = {
	/** Seed of the stand-ins' randomness. */
	readonly seed?: number;
	/** Changes to the settings of every node. */
	readonly node?: Partial<SettingsInput>;
};

/** Expands a deployment. */
export function planDeployment(deployment: Deployment, placement: ListenAddresses, options: PlanOptions = {}): DeploymentPlan {
	const seed = options.seed ?? 1;
	return {
		platform: {...placement.platform, seed},
		endpoints: planEndpoints(deployment, placement, seed),
		nodes: deployment.nodes.map(node => ({...planNode(deployment, placement, node), ...options.node})),
		document: planDocument(deployment, placement),
	};
}

/** Operations of the first change of a configuration. */
export function operationsOf(document: ConfigurationDocument): readonly Operation[] {
	return fromDocument(document)
		.map(model => diffModels(emptyModel, model))
		.mapLeft(problems => new Error(describeProblems(problems)))
		.unsafeCoerce();
}

function planEndpoints(deployment: Deployment, placement: ListenAddresses, seed: number): EndpointStandInSettings[] {
	const {endpoint: offer} = deployment;
	const endpoints = endpointsOf(deployment);
	return endpoints.map((endpoint, index) => {
		const group = endpoints.filter(other => other.group === endpoint.group);
		return {
			name: endpoint.name,
			group: endpoint.group,
			availabilityZone: endpoint.availabilityZone,
			...addressOf(placement.endpoints, endpoint.name),
			slots: offer.slots,
			connections: offer.connections,
			connectCostMs: offer.connectMs,
			serviceTimeMs: offer.serviceMs,
			lag: offer.lag,
			seed: seed + index,
			user: offer.user,
			password: offer.password,
			initialPrimary: group.find(({isFirst}) => isFirst)?.name ?? endpoint.name,
			peers: group
				.filter(({name}) => name !== endpoint.name)
				.map(({name}) => {
					const {host, port} = addressOf(placement.endpoints, name);
					return {name, host, port};
				}),
		};
	});
}

function planNode(deployment: Deployment, placement: ListenAddresses, node: Deployment['nodes'][number]): SettingsInput {
	const {host, callersPort, peersPort, operatorsPort} = addressOf(placement.nodes, node.name);
	const {platform} = placement;
	const platformUrl = `http://${platform.host}:${platform.port}`;
	return {
		node: {...node, region: deployment.region},
		callers: {
			host,
			port: callersPort,
			authentication: {method: 'md5', users: deployment.callers},
			tokenKey: deployment.tokenKey,
		},
		peers: {host, port: peersPort},
		operators: {host, port: operatorsPort, credentials: deployment.operators},
		platform: {
			tableEndpointUrl: platformUrl,
			objectEndpointUrl: platformUrl,
			accessKeyId: 'development',
			secretAccessKey: 'development',
		},
		endpoints: {user: deployment.endpoint.user, password: deployment.endpoint.password},
	};
}

function planDocument(deployment: Deployment, placement: ListenAddresses): ConfigurationDocument {
	const {slots, connections} = deployment.endpoint;
	return {
		services: deployment.services.map(service => ({
			...service,
			groups: service.groups.map(group => ({
				...group,
				endpoints: group.endpoints.map(endpoint => {
					const {host, port} = addressOf(placement.endpoints, endpoint.name);
					return {
						...endpoint, host, port, slots, connections,
					};
				}),
			})),
		})),
		callers: deployment.callers.map(({user, labels}) => ({user, labels})),
		rules: deployment.rules,
	};
}

function addressOf<Place>(places: ReadonlyMap<string, Place>, name: string): Place {
	const place = places.get(name);
	if (!place) {
		throw new Error(`no place for ${name}`);
	}

	return place;
}

function describeProblems(problems: readonly Problem[]): string {
	return problems.map(problem => JSON.stringify(problem)).join('\n');
}
