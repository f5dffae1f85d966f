/**
 * The group monitors of this node.
 */
import {DisposableStore, type Disposable} from '../lifecycle/disposable.js';
import type {Groups} from '../services/services.js';
import {groupDefaults} from './constants.js';
import {MonitoredGroup} from './monitored-group.js';
import {PauseDetector} from './pause-detector.js';
import {safetyRules} from './safety-rules.js';
import type {GroupOptions, GroupServices} from './types.js';

/** Creates monitors on demand, and disposes of those that are no longer needed. */
export class MonitoredGroups implements Groups {
	private readonly _services: GroupServices;
	private readonly _options: GroupOptions;
	private readonly _scope = new DisposableStore();
	private readonly _pauseDetector: PauseDetector;
	private readonly _monitors = new Map<string, MonitoredGroup>();
	private _sweepTimer: Disposable | undefined;

	constructor(services: GroupServices, options: Partial<GroupOptions> = {}) {
		this._services = services;
		this._options = {...groupDefaults, ...options};
		this._pauseDetector = this._scope.register(new PauseDetector(services.clock, this._options.pauseBoundMs));
		this._scope.register(services.configuration.onChange(() => {
			this._applyConfiguration();
		}));
		this._scheduleSweep();
	}

	monitor(group: string): MonitoredGroup {
		let monitor = this._monitors.get(group);
		if (!monitor) {
			monitor = new MonitoredGroup(group, {
				services: this._services, options: this._options, pause: this._pauseDetector, rules: safetyRules,
			});
			this._monitors.set(group, monitor);
		}

		return monitor;
	}

	existing(group: string): MonitoredGroup | undefined {
		return this._monitors.get(group);
	}

	dispose(): void {
		this._scope.dispose();
		this._sweepTimer?.dispose();
		for (const group of this._monitors.keys()) {
			this._removeMonitor(group);
		}
	}

	private _applyConfiguration(): void {
		for (const [group, monitor] of this._monitors) {
			const definition = this._services.configuration.group(group);
			if (definition) {
				monitor.configure(definition);
			} else {
				this._removeMonitor(group);
			}
		}
	}

	/** Removes idle monitors of groups for which this node is the home of no endpoint. */
	private _sweep(): void {
		const {clock, configuration, membership} = this._services;
		for (const [group, monitor] of this._monitors) {
			const endpoints = configuration.group(group)?.endpoints ?? [];
			const isHome = endpoints.some(endpoint => membership.homeOf(endpoint)?.name === membership.self.name);
			if (!isHome && clock.nowMs() - monitor.lastUsedMs > this._options.unusedAfterMs) {
				this._removeMonitor(group);
			}
		}
	}

	private _scheduleSweep(): void {
		this._sweepTimer = this._services.clock.setTimer(this._options.unusedAfterMs / 3, () => {
			this._sweep();
			this._scheduleSweep();
		});
	}

	private _removeMonitor(group: string): void {
		this._monitors.get(group)?.dispose();
		this._monitors.delete(group);
	}
}
