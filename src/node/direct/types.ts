/**
 * Types of the daemon whose nodes reach every endpoint themselves.
 */
import type {Either} from 'purify-ts';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {UsageRule} from '../../common/organisations/usage-rule.js';
import type {
	LineWire, PromotionCalls, RowFormats, RowStore,
} from '../../common/services/services.js';

/** An address to listen on or to call. */
export type HostPort = {
	readonly host: string;
	readonly port: number;
};

/** Where a node stands and what it reaches, as its platform says. */
export type DirectNodeEnvironment = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly region: string;
	/** Where callers connect. */
	readonly callers: HostPort;
	/** Where the platform asks whether new callers may come. */
	readonly readiness: HostPort;
	/** Where other nodes connect. */
	readonly peers: HostPort;
	readonly store: HostPort;
	/** Where promotions are ordered. */
	readonly promotions: HostPort;
	/** Processor cores that the process may use, fractions included. */
	readonly cores: number;
	/** Time that a process has to stop in. */
	readonly graceMs: number;
	/** Time in milliseconds after which a revoked key counts on no node; undefined where only nodes in touch with the store owe that. */
	readonly keyRevocationMs: number | undefined;
	/** How the usage of organisations is counted. */
	readonly usageRule: UsageRule;
	/** Number of availability zones. */
	readonly zones: number;
};

/** What a platform's adapter lends a node. */
export type PlatformAdapter = {
	/** Path at which readiness is asked for. */
	readonly readyPath: string;
	readonly wire: LineWire;
	readonly formats: RowFormats;
	openStore(address: HostPort): RowStore & Disposable;
	openPromotions(address: HostPort): PromotionCalls & Disposable;
};

/** What serving needs besides. */
export type DirectServeOptions = PlatformAdapter & {
	/** File of the project's own settings; defaults hold without one. */
	readonly settingsFile: string | undefined;
	/** Whether only to check the settings. */
	readonly isCheck: boolean;
	/** Whether the start used the code that the build compiled. */
	readonly isCodeCacheUsed: boolean;
	/** Reads the place again, for a start or a reload; the text says what is wrong with it. */
	readEnvironment(): Either<string, DirectNodeEnvironment>;
};
