/**
 * Who a caller is, and whether it may have a statement run: what its key says under the newest
 * configuration.
 *
 * The key decides at every statement, not at the start of a session: it may be revoked at any
 * moment, and a statement that is sent long enough afterwards must not run on any node.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import type {RouteCatalog} from '../catalog/route-catalog.js';
import {Refusal} from '../errors/error-kinds.js';
import type {Route} from '../services/services.js';

/** What a caller showed when its session began. */
export type Credential = {
	/** Digest of the word that it sent. */
	readonly keyDigest: string;
	/** The word itself where callers need no key when the session begins. */
	readonly caller: string;
};

/** Name for logs of who has no organisation. */
const anonymous = 'anonymous';

/** Decides by the configuration in force. */
export class AccessControl {
	private readonly _catalog: RouteCatalog;

	constructor(catalog: RouteCatalog) {
		this._catalog = catalog;
	}

	/** Takes in what a caller sent; a key is not kept. */
	credential(secret: string): Credential {
		return {keyDigest: this._catalog.digestOf(secret), caller: this._catalog.organisations ? anonymous : secret};
	}

	/** The organisation whose connections a statement may use; undefined where none is needed. */
	async organisation(route: Route, {keyDigest}: Credential): Promise<Either<Refusal, string | undefined>> {
		const {organisations} = this._catalog;
		if (!organisations || route.isPublic) {
			return Right(organisations?.holder(keyDigest)?.name);
		}

		// The proof comes first: the question for it may bring a configuration that takes the key away.
		const areKeysCurrent = await this._catalog.areKeysCurrent();
		const holder = areKeysCurrent ? await this._catalog.findOrganisation(keyDigest) : undefined;
		if (holder) {
			return Right(holder.name);
		}

		return Left(areKeysCurrent
			? new Refusal('authenticationFailed', 'the API key is not known')
			: new Refusal('configurationUnproved', 'the store was not heard for too long'));
	}

	/**
	 * Who a caller is at this moment, for logs and fair sharing. A word that was taken for a name is
	 * shown no more once organisations are named: it may be a key.
	 */
	nameOf({keyDigest, caller}: Credential): string {
		const {organisations} = this._catalog;
		return organisations ? organisations.holder(keyDigest)?.name ?? anonymous : caller;
	}

	/** Whether a key that let a caller in does so no more. */
	isRevoked(route: Route | undefined, {keyDigest}: Credential): boolean {
		const {organisations} = this._catalog;
		return organisations !== undefined && route?.isPublic === false && organisations.holder(keyDigest) === undefined;
	}
}
