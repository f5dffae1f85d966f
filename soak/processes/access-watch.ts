/**
 * Organisations of a run, what is done to their keys and limits meanwhile, and whether what ran at
 * the instances was allowed.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {UsageRule} from '../../src/common/organisations/usage-rule.js';
import type {LineSystem, SystemOrganisation} from '../../standins/line/processes/line-system.js';
import {accessRule} from '../../standins/line/processes/node-process.js';
import type {Finding} from '../findings.js';
import type {Dice} from './process-faults.js';

/** How many organisations callers belong to; the first one is the only one that reaches its limit. */
const organisationCount = 3;

/** Limits in operations a second. */
const limits = {tight: [15, 30, 60], wide: 5000} as const;

/** Time beyond that of the rule for which a key stays away, so that uses beyond it would show, in milliseconds. */
const stayAwayMs = 3000;

/** Pause between two changes, in milliseconds. */
const betweenMs = 700;

const msPerS = 1000;

/** A time in which a key counted for nobody. */
type Removal = {
	readonly organisation: string;
	readonly fromMs: number;
	untilMs: number;
};

/** A limit and since when it was in the store. */
type LimitChange = {
	readonly sinceMs: number;
	readonly perS: number;
	readonly burst: number;
};

/** When a caller sent a statement. */
type SentStatement = {
	readonly organisation: string;
	readonly atMs: number;
	/** The operation that it is part of. */
	readonly operation: string;
};

/** Owns the organisations of one run. */
export class AccessWatch {
	private readonly _system: LineSystem;
	private readonly _organisations: readonly SystemOrganisation[];
	private readonly _removals: Removal[] = [];
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
		this._noteLimit();
	}

	/** The organisation and the key of a caller. */
	callerOf(index: number): {readonly organisation: string; readonly key: string} {
		const {name} = this._organisations[index % organisationCount];
		return {organisation: name, key: keyOf(name)};
	}

	/** Takes in that a caller sends a statement. */
	noteSent(id: string, organisation: string, operation: string): void {
		this._sent.set(id, {organisation, operation, atMs: this._system.group.nowMs()});
	}

	/** Takes keys away, gives them back and changes a limit, so many times. */
	async disturb(dice: Dice, count: number): Promise<void> {
		for (let index = 0; index < count; index++) {
			await (dice.pick(['key', 'limit'] as const) === 'key' ? this._removeKey(dice) : this._changeLimit(dice));
			await pause(betweenMs);
		}
	}

	/** Judges what ran. */
	check(report: (finding: Finding) => void): void {
		const runs = this._system.group.instances.flatMap(instance => [...instance.firstRuns]);
		for (const [id, {user}] of runs) {
			const sent = this._sent.get(id);
			if (sent && sent.organisation !== user) {
				report({promise: 'foreignConnection', detail: `${id} of ${sent.organisation} ran as ${user}`});
			}

			const removal = sent && this._removals.find(({organisation, fromMs, untilMs}) =>
				organisation === sent.organisation && sent.atMs > fromMs + accessRule.keyRevocationMs && sent.atMs < untilMs);
			if (sent && removal) {
				report({promise: 'keyOutlived', detail: `${id} of ${sent.organisation} was sent ${Math.round(sent.atMs - removal.fromMs)} ms after its key was revoked, and ran`});
			}
		}

		this._checkUsage(runs.map(([id, {atMs}]) => ({id, atMs})), report);
	}

	/** Operations of the first organisation in any window, against the widest limit that may bind in it. */
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
			const most = this._mostAllowed(timeMs);
			if (count > most) {
				report({promise: 'usageExceeded', detail: `${count} operations of ${this._organisations[0].name} in ${windowS} s up to ${Math.round(timeMs)} ms, ${most} are allowed`});
				return;
			}
		}
	}

	/** A lower limit binds one window after it is known everywhere. */
	private _mostAllowed(endMs: number): number {
		const {usage, keyRevocationMs} = accessRule;
		const oldestMs = endMs - (2 * usage.windowS * msPerS) - keyRevocationMs;
		const inForce = this._limits.filter(({sinceMs}, index) => sinceMs <= endMs && (this._limits[index + 1]?.sinceMs ?? endMs) >= oldestMs);
		return Math.max(...inForce.map(limit => allowed(limit, usage)));
	}

	private async _removeKey(dice: Dice): Promise<void> {
		const organisation = dice.pick(this._organisations);
		organisation.keys.clear();
		this._system.configure();
		const removal: Removal = {organisation: organisation.name, fromMs: this._system.group.nowMs(), untilMs: Number.POSITIVE_INFINITY};
		this._removals.push(removal);
		await pause(accessRule.keyRevocationMs + stayAwayMs);
		removal.untilMs = this._system.group.nowMs();
		organisation.keys.add(keyOf(organisation.name));
		this._system.configure();
	}

	private async _changeLimit(dice: Dice): Promise<void> {
		const [organisation] = this._organisations;
		organisation.perS = dice.pick(limits.tight);
		organisation.burst = organisation.perS;
		this._noteLimit();
		this._system.configure();
		await pause(dice.durationMs());
	}

	private _noteLimit(): void {
		const [{perS, burst}] = this._organisations;
		this._limits.push({sinceMs: this._system.group.nowMs(), perS, burst});
	}
}

function keyOf(organisation: string): string {
	return `key-of-${organisation}`;
}

function allowed({perS, burst}: LimitChange, {windowS, overshootShare, slack}: UsageRule): number {
	return (((perS * windowS) + burst) * (1 + overshootShare)) + slack;
}
