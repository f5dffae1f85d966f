/**
 * The organisations of one version of the configuration, by name and by key.
 */
import type {Organisation} from '../services/services.js';

/** Finds organisations. */
export class Organisations {
	private readonly _byName: ReadonlyMap<string, Organisation>;
	private readonly _byDigest: ReadonlyMap<string, Organisation>;

	constructor(organisations: readonly Organisation[]) {
		this._byName = new Map(organisations.map(organisation => [organisation.name, organisation]));
		this._byDigest = new Map(organisations.flatMap(organisation => organisation.keyDigests.map(digest => [digest, organisation] as const)));
	}

	/** The organisation of a name. */
	findByName(name: string): Organisation | undefined {
		return this._byName.get(name);
	}

	/** The organisation that holds the key of a digest. */
	holder(keyDigest: string): Organisation | undefined {
		return this._byDigest.get(keyDigest);
	}
}
