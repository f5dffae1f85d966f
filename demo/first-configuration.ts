/**
 * Proposes the first configuration of a fresh system through the platform's table, as a node
 * does.
 */
import {randomUUID} from 'node:crypto';
import {ChangeHistory} from '../src/common/configuration/change-history.js';
import {ConfigurationLog} from '../src/common/configuration/configuration-log.js';
import {InvariantChecks} from '../src/common/invariants/invariant-checks.js';
import {operationsOf, type DeploymentPlan} from '../src/common/settings/deployment-plan.js';
import {settingsDefaults} from '../src/common/settings/constants.js';
import {RecordingLog, silentMetrics} from '../src/common/testing/observers.js';
import {DynamoTable} from '../src/node/platform/dynamo-table.js';
import {S3Objects} from '../src/node/platform/s3-objects.js';
import type {PlatformSettings} from '../src/node/platform/settings.js';
import {SystemClock} from '../src/node/system-clock.js';

/** Proposes the plan's configuration as the first change; rejects when it is refused. */
export async function proposeFirstConfiguration(plan: DeploymentPlan): Promise<void> {
	const {host, port} = plan.platform;
	const {platform} = settingsDefaults;
	const url = `http://${host}:${port}`;
	const settings: PlatformSettings = {
		tableEndpoint: url,
		objectsEndpoint: url,
		region: platform.region,
		table: platform.tableName,
		bucket: platform.bucket,
		credentials: {accessKeyId: 'development', secretAccessKey: 'development'},
		connectTimeoutMs: platform.connectTimeoutMs,
		requestTimeoutMs: platform.requestTimeoutMs,
	};
	const clock = new SystemClock();
	const log = new RecordingLog();
	const table = new DynamoTable(settings, clock, log, silentMetrics);
	const objects = new S3Objects(settings, clock, log, silentMetrics);
	const history = new ChangeHistory(new InvariantChecks(log, silentMetrics, {isFatal: true}), log);
	const changeLog = new ConfigurationLog({
		table,
		objects,
		history,
		clock,
		log,
		metrics: silentMetrics,
		audit: {
			record() {
				// No audit is needed: the change names its author.
			},
		},
		currentPrimary: () => undefined,
	});
	try {
		const proposed = await changeLog.propose({
			changeId: randomUUID(),
			author: 'demo',
			basedOn: 0,
			operations: operationsOf(plan.document),
			note: 'first configuration',
		});
		proposed.ifLeft(refusal => {
			throw new Error(`the first configuration was refused: ${JSON.stringify(refusal)}`);
		});
	} finally {
		changeLog.dispose();
		history.dispose();
		table.dispose();
		objects.dispose();
	}
}
