/**
 * Types of the demo.
 */
import type {Deployment} from '../src/common/settings/deployment-schema.js';
import type {ListenAddresses} from '../src/common/settings/deployment-plan.js';

/** Options of the command line. */
export type DemoOptions = {
	/** Name of a folder in `deployments`. */
	readonly deployment: string;
	/** Whether the system stays up until a signal. */
	readonly keep: boolean;
	/** File that is written once the system is ready. */
	readonly readyFile?: string;
	/** Folder for settings and logs of the processes; kept when it is given. */
	readonly folder?: string;
};

/** What the ready file says. */
export type ReadyReport = {
	readonly callers: ReadonlyArray<{readonly host: string; readonly port: number; readonly availabilityZone: string}>;
	readonly operators: ReadonlyArray<{readonly url: string; readonly user: string; readonly password: string}>;
	readonly groups: readonly string[];
	readonly user: string;
	readonly password: string;
	readonly endpoints: ReadonlyArray<{readonly name: string; readonly group: string; readonly role: string; readonly pid: number}>;
	readonly nodes: ReadonlyArray<{readonly name: string; readonly pid: number}>;
};

/** What a running system is known by. */
export type SystemDescription = {
	readonly deployment: Deployment;
	readonly placement: ListenAddresses;
};

/** Shows what happens. */
export type Reporter = {
	/** A line that stays. */
	line(text: string): void;
	/** A line that the next one replaces. */
	progress(text: string): void;
};
