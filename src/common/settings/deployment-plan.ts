/**
 * Expands a deployment into the settings of each of its processes and the configuration that
 * is proposed at its start.
 */
import {
	diffModels, emptyModel, fromDocument,
} from '../configuration/model.js';
import type {Problem} from '../configuration/problems.js';
import type {ConfigurationDocument, Operation} from '../configuration/schema.js';
import {endpointsOf, type Deployment} from './deployment-schema.js';
import type {SettingsInput} from './settings-schema.js';

/** Listen addresses of the processes of a deployment; nodes and endpoints by name. */
export type ListenAddresses = {
	readonly platform: {readonly host: string; readonly port: number};
	readonly nodes: ReadonlyMap<string, NodeAddresses>;
	readonly endpoints: ReadonlyMap<string, EndpointAddresses>;
};

/** Listen addresses of one node. */
export type NodeAddresses = {
	readonly host: string;
	readonly callersPort: number;
	readonly peersPort: number;
	readonly operatorsPort: number;
};

/** Listen addresses of one endpoint stand-in; its control port accepts fault commands. */
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
	/** The configuration that the first change creates. */
	readonly document: ConfigurationDocument;
};

/** Options for expanding a deployment. */
export type PlanOptions = {
	/** Seed for the random numbers of the stand-ins; 1 if absent. */
	readonly seed?: number;
	/** Settings that replace those of every node, by section. */
	readonly node?: Partial<SettingsInput>;
};

/** Expands a deployment; throws if a node or an endpoint has no listen address. */
export function planDeployment(deployment: Deployment, addresses: ListenAddresses, options: PlanOptions = {}): DeploymentPlan {
	const seed = options.seed ?? 1;
	return {
		platform: {...addresses.platform, seed},
		endpoints: planEndpoints(deployment, addresses, seed),
		nodes: deployment.nodes.map(node => ({...planNode(deployment, addresses, node), ...options.node})),
		document: planDocument(deployment, addresses),
	};
}

/** The operations that create a configuration from an empty one; throws if the document is invalid. */
export function operationsOf(document: ConfigurationDocument): readonly Operation[] {
	return fromDocument(document)
		.map(model => diffModels(emptyModel, model))
		.mapLeft(problems => new Error(describeProblems(problems)))
		.unsafeCoerce();
}

function planEndpoints(deployment: Deployment, addresses: ListenAddresses, seed: number): EndpointStandInSettings[] {
	const {endpoint: template} = deployment;
	const endpoints = endpointsOf(deployment);
	return endpoints.map((endpoint, index) => {
		const group = endpoints.filter(other => other.group === endpoint.group);
		return {
			name: endpoint.name,
			group: endpoint.group,
			availabilityZone: endpoint.availabilityZone,
			...addressOf(addresses.endpoints, endpoint.name),
			slots: template.slots,
			connections: template.connections,
			connectCostMs: template.connectMs,
			serviceTimeMs: template.serviceMs,
			lag: template.lag,
			seed: seed + index,
			user: template.user,
			password: template.password,
			initialPrimary: group.find(({isInitialPrimary}) => isInitialPrimary)?.name ?? endpoint.name,
			peers: group
				.filter(({name}) => name !== endpoint.name)
				.map(({name}) => {
					const {host, port} = addressOf(addresses.endpoints, name);
					return {name, host, port};
				}),
		};
	});
}

function planNode(deployment: Deployment, addresses: ListenAddresses, node: Deployment['nodes'][number]): SettingsInput {
	const {host, callersPort, peersPort, operatorsPort} = addressOf(addresses.nodes, node.name);
	const {platform} = addresses;
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

function planDocument(deployment: Deployment, addresses: ListenAddresses): ConfigurationDocument {
	const {slots, connections} = deployment.endpoint;
	return {
		services: deployment.services.map(service => ({
			...service,
			groups: service.groups.map(group => ({
				...group,
				endpoints: group.endpoints.map(endpoint => {
					const {host, port} = addressOf(addresses.endpoints, endpoint.name);
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

function addressOf<Address>(addresses: ReadonlyMap<string, Address>, name: string): Address {
	const address = addresses.get(name);
	if (!address) {
		throw new Error(`expected a listen address for ${name}, but there is none`);
	}

	return address;
}

function describeProblems(problems: readonly Problem[]): string {
	return problems.map(problem => JSON.stringify(problem)).join('\n');
}
