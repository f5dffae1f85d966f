/**
 * Rendezvous hashing: every node ranks the hosts for an endpoint alike without communication, and a
 * host that joins or leaves moves only the endpoints that it gains or loses.
 */
/* eslint-disable no-bitwise -- the hash functions need bitwise operators */

const fnvOffset = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;
const goldenRatio = 0x9E_37_79_B1;

/** 32-bit FNV-1a hash of a text's UTF-16 code units, mixed so that every bit depends on all of them. */
export function hashText(text: string): number {
	let hash = fnvOffset;
	for (let index = 0; index < text.length; index++) {
		const unit = text.charCodeAt(index); // eslint-disable-line unicorn/prefer-code-point
		hash = Math.imul(hash ^ (unit & 0xFF), fnvPrime);
		hash = Math.imul(hash ^ (unit >>> 8), fnvPrime);
	}

	return mix(hash);
}

/** Weight of a host for an endpoint as an unsigned 32-bit number, from the hashes of their names. */
export function weight(endpointHash: number, hostHash: number): number {
	return mix(endpointHash ^ Math.imul(hostHash, goldenRatio)) >>> 0;
}

/** A value that is ranked, such as a host, with its name and the hash of the name. */
export type Candidate<T> = {
	readonly name: string;
	readonly hash: number;
	readonly value: T;
};

/** The candidate with the highest weight, and of equal weights the smaller name; undefined if there is none. */
export function highestWeight<T>(candidates: ReadonlyArray<Candidate<T>>, endpointName: string): T | undefined {
	return highestWeights(candidates, endpointName, 1).at(0);
}

/** The `count` candidates with the highest weights in descending order; equal weights are ordered by name. */
export function highestWeights<T>(candidates: ReadonlyArray<Candidate<T>>, endpointName: string, count: number): T[] {
	const endpointHash = hashText(endpointName);
	const best: Array<{readonly candidate: Candidate<T>; readonly weight: number}> = [];
	for (const candidate of candidates) {
		const entry = {candidate, weight: weight(endpointHash, candidate.hash)};
		const index = best.findIndex(other => entry.weight > other.weight
			|| (entry.weight === other.weight && candidate.name < other.candidate.name));
		if (index !== -1) {
			best.splice(index, 0, entry);
			best.length = Math.min(best.length, count);
		} else if (best.length < count) {
			best.push(entry);
		}
	}

	return best.map(({candidate}) => candidate.value);
}

/** Final mixing step of MurmurHash3. */
function mix(value: number): number {
	let hash = value;
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return hash ^ (hash >>> 16);
}
