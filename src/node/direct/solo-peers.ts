/**
 * A node that asks no others: each judges by what it sees itself.
 */
import {hashText} from '../../common/membership/rendezvous.js';
import type {Opinions, PrimacyPeers} from '../../common/primacy/types.js';

/** Ranks that nodes are spread over. */
const ranks = 8;

/** Peers of a node that knows none. */
export class SoloPeers implements PrimacyPeers {
	private readonly _node: string;

	constructor(node: string) {
		this._node = node;
	}

	rank(service: string): number {
		return Math.abs(hashText(`${this._node}/${service}`)) % ranks;
	}

	async opinions(): Promise<Opinions> {
		return {answered: 1, asked: 1, heard: 0};
	}

	announce(): void {
		// There is nobody to tell.
	}
}
