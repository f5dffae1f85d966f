/**
 * Identifies callers by their API key and decides, by the configuration in force, whether a statement
 * may run.
 *
 * The key is checked for every statement and not only at the start of a session: it may be revoked at
 * any moment, and a statement that is sent long enough afterwards must not run on any node.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import type {RouteCatalog} from '../catalog/route-catalog.js';
import {Refusal} from '../errors/error-kinds.js';
import type {Route} from '../services/services.js';

/** What a caller sent to identify itself when its session began. */
export type Credential = {
	/** Digest of the user name that it sent, which may be an API key. */
	readonly keyDigest: string;
	/** The user name itself if callers needed no API key when the session began; otherwise the name for anonymous callers. */
	readonly caller: string;
};

/** Name of callers without an organisation where others have one. It is empty, which no organisation's name is: with a name, they would share with the organisation of that name. */
const anonymous = '';

/** Checks API keys against the configuration in force. */
export class AccessControl {
	private readonly _catalog: RouteCatalog;

	constructor(catalog: RouteCatalog) {
		this._catalog = catalog;
	}

	/** Makes a credential of the user name that a caller sent; an API key is kept only as its digest. */
	createCredential(secret: string): Credential {
		return {keyDigest: this._catalog.digestOf(secret), caller: this._catalog.organisations ? anonymous : secret};
	}

	/** Resolves to the organisation whose connections a statement uses, to undefined if it needs none, or to the refusal if its key is not valid. */
	async organisation(route: Route, {keyDigest}: Credential): Promise<Either<Refusal, string | undefined>> {
		const {organisations} = this._catalog;
		if (!organisations || route.isPublic) {
			return Right(organisations?.holder(keyDigest)?.name);
		}

		// Prove first that the keys are current: the request for that may bring a configuration that revokes this key.
		const areKeysCurrent = await this._catalog.areKeysCurrent();
		const holder = areKeysCurrent ? await this._catalog.findOrganisation(keyDigest) : undefined;
		if (holder) {
			return Right(holder.name);
		}

		return Left(areKeysCurrent
			? new Refusal('authenticationFailed', 'the API key is not known')
			: new Refusal('configurationUnproved', 'the configuration store has not answered for too long'));
	}

	/**
	 * Current name of a caller, for logs and fair sharing. A user name is no longer shown once the
	 * configuration has organisations: it may be an API key.
	 */
	nameOf({keyDigest, caller}: Credential): string {
		const {organisations} = this._catalog;
		return organisations ? organisations.holder(keyDigest)?.name ?? anonymous : caller;
	}

	/** Whether the key of a connected caller is no longer valid for the route. */
	isRevoked(route: Route | undefined, {keyDigest}: Credential): boolean {
		const {organisations} = this._catalog;
		return organisations !== undefined && route?.isPublic === false && organisations.holder(keyDigest) === undefined;
	}
}
