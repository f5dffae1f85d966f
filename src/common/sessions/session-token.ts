/**
 * The session token: the text that carries a session's marks between connections and proxies.
 *
 * Layout: version, flags, count, then per group the name's length, the name, term and
 * offset; then the signature. All of it is encoded as base64url.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {LogPosition} from '../positions/log-position.js';
import {fromBase64Url, toBase64Url} from './base64url.js';
import {
	maximumGroupNameBytes, maximumTokenChars, maximumTokenGroups, signatureBytes, tokenVersion,
} from './constants.js';
import {ByteReader, ByteWriter} from './token-bytes.js';
import type {TokenContent, TokenSigner} from './types.js';

const truncatedFlag = 1;
const headerBytes = 3;
const encoder = new TextEncoder();
const decoder = new TextDecoder('utf-8', {fatal: true});

/** Maximum size of the body, in bytes: what the longest token text can hold besides the signature. */
const maximumBodyBytes = Math.floor(maximumTokenChars * 3 / 4) - signatureBytes;

/** Encodes tokens, and verifies and decodes those that callers send. */
export class SessionTokenCodec {
	private readonly _signer: TokenSigner;
	private readonly _verifiers: readonly TokenSigner[];

	/** Tokens are signed by `signer`; those that one of `previousSigners` has signed are still accepted. */
	constructor(signer: TokenSigner, previousSigners: readonly TokenSigner[] = []) {
		this._signer = signer;
		this._verifiers = [signer, ...previousSigners];
	}

	/** Encodes a token; leaves out the least recently advanced groups if not all fit. */
	encode(content: TokenContent): string {
		const entries: Uint8Array[] = [];
		let sizeBytes = headerBytes;
		let {isTruncated} = content;
		for (const [group, position] of [...content.positions].toReversed()) {
			const entry = encodeEntry(group, position);
			if (!entry || entries.length === maximumTokenGroups || sizeBytes + entry.length > maximumBodyBytes) {
				isTruncated = true;
				continue;
			}

			sizeBytes += entry.length;
			entries.push(entry);
		}

		return this._sign(entries.toReversed(), isTruncated);
	}

	/** Decodes a token; refuses one that is malformed or was not signed with a key of this system. */
	decode(text: string): Either<Refusal, TokenContent> {
		if (text.length > maximumTokenChars) {
			return Left(new Refusal('invalidToken', 'token is too long'));
		}

		const bytes = fromBase64Url(text);
		if (!bytes || bytes.length < headerBytes + signatureBytes) {
			return Left(new Refusal('invalidToken', 'token is not well-formed'));
		}

		const body = bytes.subarray(0, bytes.length - signatureBytes);
		const signature = bytes.subarray(bytes.length - signatureBytes);
		if (!this._verifiers.some(signer => isSignatureEqual(signer.sign(body), signature))) {
			return Left(new Refusal('invalidToken', 'token was not issued by this system'));
		}

		const content = decodeBody(body);
		return content ? Right(content) : Left(new Refusal('invalidToken', 'token has an unknown layout'));
	}

	private _sign(entries: readonly Uint8Array[], isTruncated: boolean): string {
		const writer = new ByteWriter();
		writer.byte(tokenVersion);
		writer.byte(isTruncated ? truncatedFlag : 0);
		writer.byte(entries.length);
		for (const entry of entries) {
			writer.bytes(entry);
		}

		const body = writer.toBytes();
		writer.bytes(this._signer.sign(body).subarray(0, signatureBytes));
		return toBase64Url(writer.toBytes());
	}
}

function encodeEntry(group: string, position: LogPosition): Uint8Array | undefined {
	const name = encoder.encode(group);
	if (name.length > maximumGroupNameBytes) {
		return undefined;
	}

	const writer = new ByteWriter();
	writer.byte(name.length);
	writer.bytes(name);
	writer.varint(position.term);
	writer.varint(position.offset);
	return writer.toBytes();
}

function decodeBody(body: Uint8Array): TokenContent | undefined {
	const reader = new ByteReader(body);
	if (reader.byte() !== tokenVersion) {
		return undefined;
	}

	const flags = reader.byte();
	const count = reader.byte();
	const positions = new Map<string, LogPosition>();
	for (let index = 0; index < count && !reader.isMalformed; index++) {
		const group = decodeName(reader.bytes(reader.byte()));
		if (group === undefined) {
			return undefined;
		}

		positions.set(group, {term: reader.varint(), offset: reader.varint()});
	}

	const isComplete = reader.isAtEnd && positions.size === count && count <= maximumTokenGroups;
	return isComplete ? {positions, isTruncated: (flags % 2) === truncatedFlag} : undefined;
}

function decodeName(bytes: Uint8Array): string | undefined {
	try {
		return decoder.decode(bytes);
	} catch {
		return undefined;
	}
}

/** Compares signatures in a time that does not depend on where the first difference is. */
function isSignatureEqual(computed: Uint8Array, given: Uint8Array): boolean {
	let difference = 0;
	for (const [index, byte] of given.entries()) {
		difference += byte === computed[index] ? 0 : 1;
	}

	return difference === 0;
}
