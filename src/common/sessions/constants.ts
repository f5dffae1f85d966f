/** Bounds and fixed values of session tokens. */

/** Layout version of the tokens that this program makes and takes. */
export const tokenVersion = 1;

/** Groups that one token holds at most; the least recently advanced are left out. */
export const maximumTokenGroups = 64;

/** Longest token text, in characters. */
export const maximumTokenChars = 4096;

/** Bytes of the signature that a token carries. */
export const signatureBytes = 16;

/** Longest name of a group inside a token, in UTF-8 bytes. */
export const maximumGroupNameBytes = 255;

/** Largest number that a token carries: exact in a double. */
export const maximumTokenNumber = Number.MAX_SAFE_INTEGER;
