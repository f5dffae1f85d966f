/**
 * The configuration in force on this node, with the policies that its rules resolve to.
 */
import type {
	CallerDescription,
	CallerPolicy,
	Configuration,
	EndpointPolicy,
	GroupDefinition,
} from '../services/services.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {joinKey} from '../join-key.js';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import {compileRules, type CompiledRules} from './compiled-rules.js';
import {defaultEndpointPolicy, resolutionDefaults} from './constants.js';
import {groupBy} from './group-by.js';
import type {ConfigurationModel} from './model.js';
import {resolveCallerPolicy, resolveEndpointPolicies} from './resolve-policies.js';

/** The source of the configuration in force; `onChange` fires with each new version. */
export type ModelSource = {
	readonly version: number;
	readonly model: ConfigurationModel;
	readonly onChange: Event<number>;
};

/** Everything that is derived from one version of the configuration. */
type Resolution = {
	readonly version: number;
	readonly model: ConfigurationModel;
	readonly rules: CompiledRules;
	readonly groups: ReadonlyMap<string, GroupDefinition>;
	readonly groupList: readonly GroupDefinition[];
	readonly endpointPolicies: ReadonlyMap<string, EndpointPolicy>;
};

function groupDefinitions(model: ConfigurationModel): ReadonlyMap<string, GroupDefinition> {
	const endpoints = groupBy(model.endpoint.values(), endpoint => endpoint.group);
	return new Map([...model.group.values()].map(group => [group.name, {
		...group,
		endpoints: endpoints.get(group.name) ?? [],
	}]));
}

function resolve(version: number, model: ConfigurationModel): Resolution {
	const rules = compileRules(model);
	const groups = groupDefinitions(model);
	return {
		version,
		model,
		rules,
		groups,
		groupList: [...groups.values()],
		endpointPolicies: resolveEndpointPolicies(model, rules),
	};
}

/** Resolves each version of the configuration; policies of callers are resolved on demand and cached up to a limit. */
export class LiveConfiguration implements Configuration, Disposable {
	/** Fires with the new version once everything that is derived from it has been updated. */
	readonly onChange: Event<number>;
	private _resolution: Resolution;
	private readonly _callerPolicies = new Map<string, CallerPolicy>();
	private readonly _onChange = new Emitter<number>();
	private readonly _subscription: Disposable;

	constructor(source: ModelSource, private readonly _cachedPolicies: number = resolutionDefaults.cachedPolicies) {
		this.onChange = this._onChange.event;
		this._resolution = resolve(source.version, source.model);
		this._subscription = source.onChange(() => {
			this._resolution = resolve(source.version, source.model);
			this._callerPolicies.clear();
			this._onChange.fire(this._resolution.version);
		});
	}

	get version(): number {
		return this._resolution.version;
	}

	groups(): readonly GroupDefinition[] {
		return this._resolution.groupList;
	}

	group(name: string): GroupDefinition | undefined {
		return this._resolution.groups.get(name);
	}

	callerPolicy(caller: CallerDescription, group: string): CallerPolicy {
		const key = this._cacheKey(caller, group);
		const cached = this._callerPolicies.get(key);
		if (cached !== undefined) {
			return cached;
		}

		const policy = resolveCallerPolicy(this._resolution.model, this._resolution.rules, caller, group);
		this._cache(key, policy);
		return policy;
	}

	endpointPolicy(endpoint: string): EndpointPolicy {
		return this._resolution.endpointPolicies.get(endpoint) ?? defaultEndpointPolicy;
	}

	dispose(): void {
		this._subscription.dispose();
		this._onChange.dispose();
		this._callerPolicies.clear();
	}

	/** Key of the cache. Callers choose their application name freely, so it is part of the key only if a rule has a condition on it. */
	private _cacheKey(caller: CallerDescription, group: string): string {
		const appName = this._resolution.rules.usesApplication ? caller.applicationName : '';
		return joinKey(caller.availabilityZone, group, appName, caller.user, ...Object.entries(caller.labels).flat());
	}

	private _cache(key: string, policy: CallerPolicy): void {
		if (this._callerPolicies.size >= this._cachedPolicies) {
			const [oldest = ''] = this._callerPolicies.keys();
			this._callerPolicies.delete(oldest);
		}

		this._callerPolicies.set(key, policy);
	}
}
