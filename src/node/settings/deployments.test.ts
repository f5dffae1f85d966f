import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {deploymentSchema, endpointsOf, type Deployment} from '../../common/settings/deployment-schema.js';
import {operationsOf, planDeployment, type ListenAddresses} from '../../common/settings/deployment-plan.js';
import {settingsSchema} from '../../common/settings/settings-schema.js';
import {settingsSchema as endpointSchema} from '../../../standins/endpoint/settings.js';
import {platformSettingsSchema} from '../../../standins/platform/settings.js';
import {loadFile} from './settings-file.js';

async function load(name: string): Promise<Deployment> {
	const file = fileURLToPath(new URL(`../../../../deployments/${name}/deployment.jsonc`, import.meta.url));
	const loaded = await loadFile(file, deploymentSchema, {});
	return loaded.unsafeCoerce();
}

function listenAddresses(deployment: Deployment): ListenAddresses {
	const host = '127.0.0.1';
	return {
		platform: {host, port: 9000},
		nodes: new Map(deployment.nodes.map(({name}) => [name, {
			host, callersPort: 1, peersPort: 2, operatorsPort: 3,
		}])),
		endpoints: new Map(endpointsOf(deployment).map(({name}, index) => [name, {host, port: 100 + index, controlPort: 0}])),
	};
}

const sizes: Array<[string, Record<string, number>]> = [
	['furniture', {
		zones: 4, nodes: 8, groups: 3, endpoints: 9, slots: 3, connections: 20,
	}],
	['cooperative', {
		zones: 3, nodes: 7, groups: 3, endpoints: 9, slots: 3, connections: 40,
	}],
];

describe('deployments', () => {
	for (const [name, size] of sizes) {
		it(`${name} has the expected size, and its plan matches the settings schema of every process`, async () => {
			const deployment = await load(name);
			const {slots, connections} = deployment.endpoint;
			expect<Record<string, number>>({
				zones: deployment.zones.length,
				nodes: deployment.nodes.length,
				groups: deployment.services.flatMap(({groups}) => groups).length,
				endpoints: endpointsOf(deployment).length,
				slots,
				connections,
			}).toEqual(size);
			const plan = planDeployment(deployment, listenAddresses(deployment));
			for (const node of plan.nodes) {
				settingsSchema.parse(node);
			}

			for (const endpoint of plan.endpoints) {
				endpointSchema.parse(endpoint);
				expect(endpoint.peers.length).toEqual(2);
			}

			platformSettingsSchema.parse(plan.platform);
			expect(operationsOf(plan.document).filter(({kind}) => kind === 'endpoint').length).toEqual(9);
		});

		it(`${name} places the instances of each group in different zones`, async () => {
			const deployment = await load(name);
			for (const {endpoints} of deployment.services.flatMap(({groups}) => groups)) {
				expect(new Set(endpoints.map(({availabilityZone}) => availabilityZone)).size).toEqual(3);
			}
		});
	}

	it('refuses zones that are not listed', async () => {
		const deployment = await load('furniture');
		const result = deploymentSchema.safeParse({...deployment, zones: deployment.zones.slice(1)});
		expect(result.error?.issues[0].path).toEqual(['nodes', 0, 'availabilityZone']);
	});
});
