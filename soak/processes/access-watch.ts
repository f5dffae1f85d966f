/**
 * The organisations of a run: changes their keys and limits while it lasts, and checks that
 * every statement that ran at the instances was allowed.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {UsageRule} from '../../src/common/organisations/usage-rule.js';
import type {LineSystem, SystemOrganisation} from '../../standins/line/processes/line-system.js';
import {accessRule} from '../../standins/line/processes/node-process.js';
import type {Finding} from '../findings.js';
import type {RandomChoices} from './process-faults.js';

/** Number of organisations that callers belong to; only the first one reaches its limit. */
const organisationCount = 3;

/** Limits in operations per second. */
const limits = {tight: [15, 30, 60], wide: 5000} as const;

/** Time for which a key stays revoked beyond the bound for revocation, so that a later use would be found, in milliseconds. */
const extraRevocationMs = 3000;

/** Pause between two changes, in milliseconds. */
const changePauseMs = 700;

const msPerS = 1000;

/** A time span in which an organisation had no valid key. */
type Revocation = {
	readonly organisation: string;
	readonly fromMs: number;
	untilMs: number;
};

/** A limit, and the time at which it was written to the store. */
type LimitChange = {
	readonly sinceMs: number;
	readonly perS: number;
	readonly burst: number;
};

/** A statement as its caller sent it. */
type SentStatement = {
	readonly organisation: string;
	readonly atMs: number;
	/** The operation that it is part of. */
	readonly operation: string;
};

/** Changes the access of the organisations of one run, and checks what ran. */
export class AccessWatch {
	private readonly _system: LineSystem;
	private readonly _organisations: readonly SystemOrganisation[];
	private readonly _revocations: Revocation[] = [];
	private readonly _limits: LimitChange[] = [];
	private readonly _sent = new Map<string, SentStatement>();

	constructor(system: LineSystem) {
		this._system = system;
		this._organisations = Array.from({length: organisationCount}, (_, index) => {
			const perS = index === 0 ? limits.tight[1] : limits.wide;
			return {
				name: `org-${index}`, keys: new Set([keyOf(`org-${index}`)]), perS, burst: perS,
			};
		});
		system.organisations = this._organisations;
		this._recordLimit();
	}

	/** The organisation and the API key of the caller with this index. */
	callerOf(index: number): {readonly organisation: string; readonly key: string} {
		const {name} = this._organisations[index % organisationCount];
		return {organisation: name, key: keyOf(name)};
	}

	/** Records that a caller sends a statement. */
	recordSent(id: string, organisation: string, operation: string): void {
		this._sent.set(id, {organisation, operation, atMs: this._system.group.nowMs()});
	}

	/** Makes `count` changes: each one either revokes a key and restores it, or changes the limit. */
	async changeAccess(random: RandomChoices, count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			await (random.pick(['key', 'limit'] as const) === 'key' ? this._revokeKey(random) : this._changeLimit(random));
			await pause(changePauseMs);
		}
	}

	/** Reports statements that ran for the wrong organisation, after their key was revoked, or beyond a limit. */
	check(report: (finding: Finding) => void): void {
		const runs = this._system.group.instances.flatMap(instance => [...instance.firstRuns]);
		for (const [id, {user}] of runs) {
			const sent = this._sent.get(id);
			if (sent && sent.organisation !== user) {
				report({promise: 'foreignConnection', detail: `${id} of ${sent.organisation} ran as ${user}`});
			}

			const revocation = sent && this._revocations.find(({organisation, fromMs, untilMs}) =>
				organisation === sent.organisation && sent.atMs > fromMs + accessRule.keyRevocationMs && sent.atMs < untilMs);
			if (sent && revocation) {
				report({promise: 'keyOutlived', detail: `${id} of ${sent.organisation} was sent ${Math.round(sent.atMs - revocation.fromMs)} ms after its key was revoked, and ran`});
			}
		}

		this._checkUsage(runs.map(([id, {atMs}]) => ({id, atMs})), report);
	}

	/** Compares the operations of the first organisation in every window with the highest limit that may apply in it. */
	private _checkUsage(runs: ReadonlyArray<{readonly id: string; readonly atMs: number}>, report: (finding: Finding) => void): void {
		const {windowS} = accessRule.usage;
		const firstMs = new Map<string, number>();
		for (const {id, atMs} of runs) {
			const sent = this._sent.get(id);
			if (sent?.organisation === this._organisations[0].name) {
				firstMs.set(sent.operation, Math.min(atMs, firstMs.get(sent.operation) ?? atMs));
			}
		}

		const times = [...firstMs.values()].toSorted((a, b) => a - b);
		for (const [index, timeMs] of times.entries()) {
			const count = index + 1 - times.findIndex(other => other > timeMs - (windowS * msPerS));
			const maximum = this._maximumAllowed(timeMs);
			if (count > maximum) {
				report({promise: 'usageExceeded', detail: `${count} operations of ${this._organisations[0].name} in ${windowS} s up to ${Math.round(timeMs)} ms, at most ${maximum} are allowed`});
				return;
			}
		}
	}

	/** The highest limit that may apply to a window: a lower limit applies only one window after every node knows it. */
	private _maximumAllowed(endMs: number): number {
		const {usage, keyRevocationMs} = accessRule;
		const oldestMs = endMs - (2 * usage.windowS * msPerS) - keyRevocationMs;
		const applicable = this._limits.filter(({sinceMs}, index) => sinceMs <= endMs && (this._limits[index + 1]?.sinceMs ?? endMs) >= oldestMs);
		return Math.max(...applicable.map(limit => allowedOperations(limit, usage)));
	}

	private async _revokeKey(random: RandomChoices): Promise<void> {
		const organisation = random.pick(this._organisations);
		organisation.keys.clear();
		this._system.configure();
		const revocation: Revocation = {organisation: organisation.name, fromMs: this._system.group.nowMs(), untilMs: Number.POSITIVE_INFINITY};
		this._revocations.push(revocation);
		await pause(accessRule.keyRevocationMs + extraRevocationMs);
		revocation.untilMs = this._system.group.nowMs();
		organisation.keys.add(keyOf(organisation.name));
		this._system.configure();
	}

	private async _changeLimit(random: RandomChoices): Promise<void> {
		const [organisation] = this._organisations;
		organisation.perS = random.pick(limits.tight);
		organisation.burst = organisation.perS;
		this._recordLimit();
		this._system.configure();
		await pause(random.durationMs());
	}

	private _recordLimit(): void {
		const [{perS, burst}] = this._organisations;
		this._limits.push({sinceMs: this._system.group.nowMs(), perS, burst});
	}
}

function keyOf(organisation: string): string {
	return `key-of-${organisation}`;
}

function allowedOperations({perS, burst}: LimitChange, {windowS, overshootShare, slack}: UsageRule): number {
	return (((perS * windowS) + burst) * (1 + overshootShare)) + slack;
}
