/**
 * Types of the demo.
 */
import type {Deployment} from '../src/common/settings/deployment-schema.js';
import type {ListenAddresses} from '../src/common/settings/deployment-plan.js';

/** Command-line options of the demo. */
export type DemoOptions = {
	/** Name of a folder in `deployments`. */
	readonly deployment: string;
	/** Whether the system runs until a signal, without the workload. */
	readonly keep: boolean;
	/** File that is written once the system is ready. */
	readonly readyFile?: string;
	/** Folder for settings and logs of the processes; kept when it is given. */
	readonly folder?: string;
};

/** Content of the ready file. */
export type ReadyReport = {
	readonly callers: ReadonlyArray<{readonly host: string; readonly port: number; readonly availabilityZone: string}>;
	readonly operators: ReadonlyArray<{readonly url: string; readonly user: string; readonly password: string}>;
	readonly groups: readonly string[];
	readonly user: string;
	readonly password: string;
	readonly endpoints: ReadonlyArray<{readonly name: string; readonly group: string; readonly role: string; readonly pid: number}>;
	readonly nodes: ReadonlyArray<{readonly name: string; readonly pid: number}>;
};

/** Deployment and addresses of a running system. */
export type SystemDescription = {
	readonly deployment: Deployment;
	readonly placement: ListenAddresses;
};

/** Shows what happens. */
export type Reporter = {
	/** Shows a line that stays. */
	line(text: string): void;
	/** Shows a line that the next one replaces. */
	progress(text: string): void;
};
