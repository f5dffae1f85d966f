/**
 * Index of the organisations in one version of the configuration, by name and by API key.
 */
import type {Organisation} from '../services/services.js';

/** Looks organisations up. */
export class Organisations {
	private readonly _byName: ReadonlyMap<string, Organisation>;
	private readonly _byDigest: ReadonlyMap<string, Organisation>;

	constructor(organisations: readonly Organisation[]) {
		this._byName = new Map(organisations.map(organisation => [organisation.name, organisation]));
		this._byDigest = new Map(organisations.flatMap(organisation => organisation.keyDigests.map(digest => [digest, organisation] as const)));
	}

	/** The organisation with a name; undefined if there is none. */
	findByName(name: string): Organisation | undefined {
		return this._byName.get(name);
	}

	/** The organisation that has the API key with this digest; undefined if no organisation has it. */
	holder(keyDigest: string): Organisation | undefined {
		return this._byDigest.get(keyDigest);
	}
}
