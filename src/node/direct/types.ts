/**
 * Types of the daemon whose nodes connect to every endpoint themselves.
 */
import type {Either} from 'purify-ts';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {UsageRule} from '../../common/organisations/usage-rule.js';
import type {
	LineWire, PromotionCalls, RowFormats, RowStore,
} from '../../common/services/services.js';

/** An address to listen on or to connect to. */
export type HostPort = {
	readonly host: string;
	readonly port: number;
};

/** The environment of a node's process, as its platform defines it. */
export type DirectNodeEnvironment = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly region: string;
	/** Address at which callers connect. */
	readonly callers: HostPort;
	/** Address at which the platform checks readiness. */
	readonly readiness: HostPort;
	/** Address at which other nodes connect. */
	readonly peers: HostPort;
	readonly store: HostPort;
	/** Address of the platform's service that carries out promotions. */
	readonly promotions: HostPort;
	/** Processor cores that the process may use, fractions included. */
	readonly cores: number;
	/** Time in milliseconds within which a process has to stop. */
	readonly graceMs: number;
	/** Minimum time in milliseconds from an endpoint's last report to the removal of its registration; undefined if the platform does not state it. */
	readonly registrationLifetimeMs: number | undefined;
	/** Time in milliseconds after which no node accepts a revoked key; undefined if only nodes that reach the store have to reject it. */
	readonly keyRevocationMs: number | undefined;
	/** How the usage of organisations is counted. */
	readonly usageRule: UsageRule;
	/** Number of availability zones. */
	readonly zones: number;
};

/** What the adapter of a platform provides to a node. */
export type PlatformAdapter = {
	/** HTTP path at which the platform checks readiness. */
	readonly readyPath: string;
	readonly wire: LineWire;
	readonly formats: RowFormats;
	openStore(address: HostPort): RowStore & Disposable;
	openPromotions(address: HostPort): PromotionCalls & Disposable;
};

/** Options of serving, with the adapter of the platform. */
export type DirectServeOptions = PlatformAdapter & {
	/** Path of the project's own settings file; undefined for the defaults. */
	readonly settingsFile: string | undefined;
	/** Whether to check the settings only, without starting a node. */
	readonly isCheck: boolean;
	/** Whether the process started from the code cache that the build compiled. */
	readonly isCodeCacheUsed: boolean;
	/** Reads the environment, for a start or a reload; the left value says what is wrong with it. */
	readEnvironment(): Either<string, DirectNodeEnvironment>;
};
