/**
 * Types of the command line.
 */
import type {OperatorClient, OperatorClientOptions} from '../operators/operator-client.js';
import type {Settings} from '../../common/settings/settings-schema.js';

/** What commands ask of the operators API. */
export type OperatorApi = Pick<
	OperatorClient,
	'status' | 'configuration' | 'changes' | 'audit' | 'explain' | 'reach' | 'preview' | 'propose' | 'undo' | 'orderPrimary'
>;

/** Where a command writes to and reads from; tests give their own. */
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

/** A node that was started in this process. */
export type RunningNode = {
	/** Printed for a supervisor once the node is ready. */
	readonly ports: Readonly<Record<string, number>>;
	/** Settles once callers are served. */
	readonly ready: Promise<void>;
	/** Takes no new work, finishes what runs, within the settings' bound. */
	drain(): Promise<void>;
	dispose(): void;
};

/** Starts a node; `src/node/wiring.ts` provides it. */
export type StartNode = (settings: Settings) => RunningNode | Promise<RunningNode>;
