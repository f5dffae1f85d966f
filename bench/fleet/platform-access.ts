/**
 * Access to the platform's services for the benchmark's own processes.
 */
import {randomUUID} from 'node:crypto';
import {ChangeHistory} from '../../src/common/configuration/change-history.js';
import {ConfigurationLog} from '../../src/common/configuration/configuration-log.js';
import type {Operation} from '../../src/common/configuration/schema.js';
import {InvariantChecks} from '../../src/common/invariants/invariant-checks.js';
import {DisposableStore, type Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Audit, Table} from '../../src/common/services/services.js';
import {settingsDefaults} from '../../src/common/settings/constants.js';
import {RecordingLog, silentMetrics} from '../../src/common/testing/observers.js';
import {DynamoTable} from '../../src/node/platform/dynamo-table.js';
import {S3Objects} from '../../src/node/platform/s3-objects.js';
import {SystemClock} from '../../src/node/system-clock.js';
import {operationsPerChange} from './constants.js';

const silentAudit: Audit = {
	record() {
		// No audit is needed: each change names its author.
	},
};

/** Table, object store and change log of one platform stand-in. */
export class PlatformAccess implements Disposable {
	readonly clock = new SystemClock();
	readonly log = new RecordingLog();
	readonly metrics = silentMetrics;
	readonly invariants = new InvariantChecks(this.log, silentMetrics, {isFatal: true});
	readonly table: Table;
	readonly history: ChangeHistory;
	readonly changeLog: ConfigurationLog;
	private readonly _owned = new DisposableStore();

	constructor(url: string) {
		const {platform} = settingsDefaults;
		const settings = {
			tableEndpoint: url,
			objectsEndpoint: url,
			region: platform.region,
			table: platform.tableName,
			bucket: platform.bucket,
			credentials: {accessKeyId: 'development', secretAccessKey: 'development'},
			connectTimeoutMs: platform.connectTimeoutMs,
			requestTimeoutMs: platform.requestTimeoutMs,
		};
		const table = this._owned.register(new DynamoTable(settings, this.clock, this.log, silentMetrics));
		const objects = this._owned.register(new S3Objects(settings, this.clock, this.log, silentMetrics));
		this.table = table;
		this.history = this._owned.register(new ChangeHistory(this.invariants, this.log));
		this.changeLog = this._owned.register(new ConfigurationLog({
			table,
			objects,
			history: this.history,
			audit: silentAudit,
			clock: this.clock,
			log: this.log,
			metrics: silentMetrics,
			currentPrimary: () => undefined,
		}));
	}

	/** Proposes all operations, in as many changes as they need; throws if one is refused. */
	async propose(operations: readonly Operation[]): Promise<void> {
		for (let start = 0; start < operations.length; start += operationsPerChange) {
			const proposed = await this.changeLog.propose({
				changeId: randomUUID(),
				author: 'bench',
				basedOn: this.history.version,
				operations: operations.slice(start, start + operationsPerChange),
			});
			proposed.ifLeft(refusal => {
				throw new Error(`a change was refused: ${JSON.stringify(refusal).slice(0, 500)}`);
			});
		}
	}

	dispose(): void {
		this._owned.dispose();
	}
}
