/**
 * Types of the command line.
 */
import type {OperatorClient, OperatorClientOptions} from '../operators/operator-client.js';
import type {Settings} from '../../common/settings/settings-schema.js';

/** The calls of the operators API that commands use. */
export type OperatorApi = Pick<
	OperatorClient,
	'status' | 'configuration' | 'changes' | 'audit' | 'explain' | 'reach' | 'preview' | 'propose' | 'undo' | 'orderPrimary'
>;

/** The outputs and inputs of a command; tests provide their own. */
export type CliContext = {
	/** Writes text to standard output as it is. */
	readonly write: (text: string) => void;
	/** Writes text to standard error as it is. */
	readonly writeError: (text: string) => void;
	readonly environment: Readonly<Record<string, string | undefined>>;
	/** Reads all of standard input. */
	readonly readInput: () => Promise<string>;
	/** Makes a client of the operators API. */
	readonly connectApi: (options: OperatorClientOptions) => OperatorApi;
};

/** A node that runs in this process. */
export type RunningNode = {
	/** Ports that the node listens on, printed for a supervisor once the node is ready. */
	readonly ports: Readonly<Record<string, number>>;
	/** Resolves once callers are served. */
	readonly ready: Promise<void>;
	/** Stops accepting new work, and finishes work in progress within the drain time of the settings. */
	drain(): Promise<void>;
	dispose(): void;
};

/** Starts a node; `src/node/wiring.ts` provides it. */
export type StartNode = (settings: Settings) => RunningNode | Promise<RunningNode>;
