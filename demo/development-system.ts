/**
 * Runs a whole system on this machine, with one process each for the platform stand-in, for
 * every endpoint stand-in and for every node of a deployment.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {z} from 'zod';
import {endpointsOf, type Deployment} from '../src/common/settings/deployment-schema.js';
import {
	planDeployment, type DeploymentPlan, type EndpointAddresses, type EndpointStandInSettings, type NodeAddresses, type ListenAddresses, type PlanOptions,
} from '../src/common/settings/deployment-plan.js';
import type {SettingsInput} from '../src/common/settings/settings-schema.js';
import {retryPauseMs, servingTimeoutMs} from './constants.js';
import {proposeFirstConfiguration} from './first-configuration.js';
import {ProcessSet} from './process-set.js';
import {ProxyClient} from './proxy-client.js';
import type {ReadyReport, Reporter} from './types.js';

/** Compiled programs, relative to this module. */
const programs = {
	platform: new URL('../standins/platform/main.js', import.meta.url),
	endpoint: new URL('../standins/endpoint/main.js', import.meta.url),
	node: new URL('../src/node/cli/main.js', import.meta.url),
} as const;

const platformName = 'platform';

/** The fields of an endpoint stand-in's status that are used here. */
const endpointStatusSchema = z.object({role: z.string(), isStreaming: z.boolean(), commitCount: z.number()});

/** Status that an endpoint stand-in reports. */
export type EndpointStatus = z.infer<typeof endpointStatusSchema>;

/** Options of a system. */
export type SystemOptions = {
	/** Folder for the settings and logs of the processes. */
	readonly folder: string;
	readonly reporter: Reporter;
	readonly plan?: PlanOptions;
};

/** The processes of one deployment: starts, describes, signals and stops them. */
export class DevelopmentSystem {
	readonly deployment: Deployment;
	readonly placement: ListenAddresses;
	readonly plan: DeploymentPlan;
	private readonly _folder: string;
	private readonly _reporter: Reporter;
	private readonly _processes = new ProcessSet();

	constructor(deployment: Deployment, placement: ListenAddresses, options: SystemOptions) {
		this.deployment = deployment;
		this.placement = placement;
		this.plan = planDeployment(deployment, placement, options.plan);
		this._folder = options.folder;
		this._reporter = options.reporter;
	}

	/** Starts all processes; resolves once every group accepts writes through every node, rejects after a timeout. */
	async start(): Promise<void> {
		const {plan, _reporter: reporter, _folder: folder} = this;
		reporter.line(`starting the platform stand-in and ${plan.endpoints.length} endpoints`);
		await this._processes.start({
			name: platformName, program: programs.platform, settings: plan.platform, folder,
		});
		await Promise.all(plan.endpoints.map(async endpoint => this._startEndpoint(endpoint, ['--fresh'])));
		await proposeFirstConfiguration(plan);
		reporter.line(`starting ${plan.nodes.length} nodes in ${this.deployment.zones.length} availability zones`);
		await Promise.all(plan.nodes.map(async node => this.startNode(node)));
		const names = this.deployment.nodes.map(({name}) => name);
		await Promise.all(names.flatMap(node => this.groups.map(async group => this._waitUntilServing(node, group))));
		reporter.line(`all ${this.groups.length} groups take writes through every node`);
	}

	/** Names of the database groups. */
	get groups(): readonly string[] {
		return this.deployment.services.flatMap(({groups}) => groups.map(({name}) => name));
	}

	/** Addresses on which a node listens. */
	nodeAddresses(name: string): NodeAddresses {
		return requireFound(this.placement.nodes.get(name), name);
	}

	/** Addresses on which an endpoint listens. */
	endpointAddresses(name: string): EndpointAddresses {
		return requireFound(this.placement.endpoints.get(name), name);
	}

	/** URL of a node's operators API. */
	operatorsUrl(name: string): string {
		const {host, operatorsPort} = this.nodeAddresses(name);
		return `http://${host}:${operatorsPort}`;
	}

	/** Process id of a node or an endpoint. */
	pidOf(name: string): number {
		return this._processes.get(name).pid;
	}

	/** Status that an endpoint reports; undefined when it does not answer. */
	async endpointStatus(name: string): Promise<EndpointStatus | undefined> {
		const {host, controlPort} = this.endpointAddresses(name);
		try {
			const response = await fetch(`http://${host}:${controlPort}/status`);
			return endpointStatusSchema.parse(await response.json());
		} catch {
			return undefined;
		}
	}

	/** Name of the endpoint that reports itself as a group's primary; if two do, the first in the deployment. */
	async primaryOf(group: string): Promise<string | undefined> {
		const endpoints = endpointsOf(this.deployment).filter(endpoint => endpoint.group === group);
		const statuses = await Promise.all(endpoints.map(async ({name}) => this.endpointStatus(name)));
		return endpoints.find((_endpoint, index) => statuses[index]?.role === 'primary')?.name;
	}

	/** Sends a signal to a node's or an endpoint's process. */
	signal(name: string, signal: NodeJS.Signals): void {
		this._processes.get(name).kill(signal);
	}

	/** Resolves with the exit code of a node or an endpoint, or the signal that ended it. */
	async exitOf(name: string): Promise<number | string> {
		return this._processes.get(name).exited;
	}

	/** Kills the process of a node or an endpoint and waits for its exit. */
	async kill(name: string): Promise<void> {
		this.signal(name, 'SIGKILL');
		await this.exitOf(name);
	}

	/** Restarts an endpoint whose process has ended; it has lost its data and has to be rebuilt. */
	async restartEndpoint(name: string): Promise<void> {
		await this._startEndpoint(requireFound(this.plan.endpoints.find(endpoint => endpoint.name === name), name), []);
	}

	/** Starts a node of the plan, or restarts one that was stopped. */
	async startNode(settings: SettingsInput): Promise<void> {
		await this._processes.start({
			name: settings.node.name, program: programs.node, options: ['serve'], settings, folder: this._folder,
		});
	}

	/** Drains and stops one node; resolves with a message if it did not exit cleanly, and with none otherwise. */
	async stopNode(name: string): Promise<string[]> {
		return this._processes.stop([name]);
	}

	/** Addresses, credentials and process ids that another program needs to use the system. */
	async describe(): Promise<ReadyReport> {
		const [caller] = this.deployment.callers;
		const [operator] = this.deployment.operators;
		const endpoints = await Promise.all(endpointsOf(this.deployment).map(async ({name, group}) => {
			const status = await this.endpointStatus(name);
			return {
				name, group, role: status?.role ?? 'unknown', pid: this.pidOf(name),
			};
		}));
		return {
			callers: this.deployment.nodes.map(({name, availabilityZone}) => {
				const {host, callersPort} = this.nodeAddresses(name);
				return {host, port: callersPort, availabilityZone};
			}),
			operators: this.deployment.nodes.map(({name}) => ({url: this.operatorsUrl(name), ...operator})),
			groups: this.groups,
			user: caller.user,
			password: caller.password,
			endpoints,
			nodes: this.deployment.nodes.map(({name}) => ({name, pid: this.pidOf(name)})),
		};
	}

	/** Stops the nodes first, then the endpoints and the platform; resolves with a message for each process that did not exit cleanly. */
	async stop(): Promise<string[]> {
		this._processes.close();
		const nodes = await this._processes.stop(this.deployment.nodes.map(({name}) => name));
		const others = await this._processes.stop([...this.plan.endpoints.map(({name}) => name), platformName]);
		return [...nodes, ...others];
	}

	/** Kills every process. */
	dispose(): void {
		this._processes.dispose();
	}

	private async _startEndpoint(settings: EndpointStandInSettings, options: readonly string[]): Promise<void> {
		await this._processes.start({
			name: settings.name, program: programs.endpoint, options, settings, folder: this._folder,
		});
	}

	/** Waits until a group accepts writes through a node; throws after a timeout. */
	private async _waitUntilServing(node: string, group: string): Promise<void> {
		const endMs = Date.now() + servingTimeoutMs;
		for (;;) {
			const problem = await this._tryWrite(node, group);
			if (problem === undefined) {
				return;
			}

			if (Date.now() > endMs) {
				throw new Error(`group ${group} takes no writes through ${node}: ${problem}`);
			}

			await pause(retryPauseMs);
		}
	}

	private async _tryWrite(node: string, group: string): Promise<string | undefined> {
		const {host, callersPort} = this.nodeAddresses(node);
		const client = new ProxyClient({host, port: callersPort}, group, this.deployment.callers[0]);
		try {
			await client.connect();
			await client.query('CREATE TABLE IF NOT EXISTS demo_start (id int PRIMARY KEY)');
			return undefined;
		} catch (error) {
			return error instanceof Error ? error.message : String(error);
		} finally {
			await client.end();
		}
	}
}

function requireFound<Value>(value: Value | undefined, name: string): Value {
	if (value === undefined) {
		throw new Error(`the deployment has no node or endpoint named ${name}`);
	}

	return value;
}
