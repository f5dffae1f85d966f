/**
 * Types of the operators' server: what it shows, and what it needs from the node.
 */
import type {Either} from 'purify-ts';
import type {AuditPage} from '../../common/audit/types.js';
import type {ChangeHistory} from '../../common/configuration/change-history.js';
import type {ConfigurationLog} from '../../common/configuration/configuration-log.js';
import type {Undo} from '../../common/configuration/undo.js';
import type {
	Clock, InstanceRole, Log, Metrics, PlatformFault,
} from '../../common/services/services.js';

/** One endpoint as the status shows it. */
export type EndpointStatus = {
	readonly name: string;
	readonly availabilityZone: string;
	/** Undefined while the role is not known. */
	readonly role?: InstanceRole;
	readonly isReachable: boolean;
	readonly isDraining: boolean;
	/** Log entries of its primary that it has not applied yet. */
	readonly lagEntries?: number;
	/** Upper bound on the age of the data that its reads see. */
	readonly ageMs?: number;
	/** Name of the node that holds its connections and queue. */
	readonly home?: string;
};

/** One database group as the status shows it. */
export type GroupStatus = {
	readonly name: string;
	readonly service: string;
	/** Zero while no primary is known. */
	readonly term: number;
	/** Name of the primary; empty while none is known. */
	readonly primary: string;
	readonly endpoints: readonly EndpointStatus[];
};

/** One node as the status shows it. */
export type NodeStatus = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly isLeaving: boolean;
	readonly isReachable: boolean;
	/** Undefined where it is not known. */
	readonly configurationVersion?: number;
};

/** Something that is degraded, and why. */
export type Degradation = {
	readonly subject: string;
	readonly reason: string;
};

/** A failover: the replacement of a primary. */
export type Failover = {
	readonly group: string;
	/** Promotion reason, one of those that docs/OPERATIONS.md lists. */
	readonly reason: string;
	/** Time from when the previous primary was last known to serve to the end of the promotion. */
	readonly gapMs: number;
	/** When the failover was complete, in ISO 8601. */
	readonly at: string;
};

/** The system as one node sees it. */
export type SystemStatus = {
	/** The node that reports the status. */
	readonly node: {readonly name: string; readonly availabilityZone: string};
	readonly configurationVersion: number;
	readonly groups: readonly GroupStatus[];
	readonly nodes: readonly NodeStatus[];
	/** Share of reads that replicas answered on this node, 0 to 1; undefined before the first read. */
	readonly replicaReadShare?: number;
	/** The last replacement of a primary by any node. */
	readonly lastFailover?: Failover;
	readonly degraded: readonly Degradation[];
};

/** Source of the system status. */
export type StatusSource = {
	read(): SystemStatus | Promise<SystemStatus>;
};

/** Source of the records of the audit trail. */
export type AuditSource = {
	read(limit: number, before?: string): Promise<Either<PlatformFault, AuditPage>>;
};

/** Whether the platform's load balancer may send callers to this node. */
export type Readiness = {
	readonly isReady: boolean;
	readonly reason: string;
};

/** Metrics in the exposition format. */
export type MetricsSource = {
	readonly contentType: string;
	text(): Promise<string>;
};

/** One node and the configuration that it has in force. */
export type NodeReach = {
	readonly name: string;
	readonly availabilityZone: string;
	/** Undefined when the node did not answer. */
	readonly version?: number;
};

/** On how many nodes a change is in force. */
export type ChangeReach = {
	readonly number: number;
	readonly nodeCount: number;
	readonly inForceCount: number;
	readonly isEverywhere: boolean;
	/** Nodes that answer and have an older configuration in force. */
	readonly lagging: readonly NodeReach[];
	/** Nodes that do not answer this node. */
	readonly cutOff: readonly NodeReach[];
};

/** Finds out which configuration the nodes have in force. */
export type ReachSource = {
	/** Asks every node. */
	nodes(): Promise<readonly NodeReach[]>;
};

/** Credentials of one operator; `password` is plain text or `scrypt$<salt>$<hash>`, both in base64. */
export type OperatorCredentials = {
	readonly user: string;
	readonly password: string;
};

/** What the server needs from the rest of the node. */
export type OperatorServices = {
	readonly history: ChangeHistory;
	readonly changeLog: ConfigurationLog;
	readonly undo: Undo;
	readonly status: StatusSource;
	readonly audit: AuditSource;
	readonly reach: ReachSource;
	readonly metricsSource: MetricsSource;
	readonly readiness: () => Readiness;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Certificate of the server, in PEM. */
export type OperatorTls = {
	readonly key: string;
	readonly cert: string;
};

/** Settings of the server. */
export type OperatorServerOptions = {
	readonly credentials: readonly OperatorCredentials[];
	readonly tls?: OperatorTls;
	readonly bodyLimitBytes?: number;
	readonly requestTimeoutMs?: number;
	readonly isMetricsOpen?: boolean;
};
