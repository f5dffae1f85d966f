/** Limits and constants of session tokens. */

/** Layout version of the tokens that are issued and accepted. */
export const tokenVersion = 1;

/** Maximum number of groups in one token; beyond it, the least recently advanced are left out. */
export const maximumTokenGroups = 64;

/** Longest token text, in characters. */
export const maximumTokenChars = 4096;

/** Size of the signature in a token, in bytes. */
export const signatureBytes = 16;

/** Longest name of a group inside a token, in UTF-8 bytes. */
export const maximumGroupNameBytes = 255;

/** Largest number in a token; up to it, integers are exact in a double. */
export const maximumTokenNumber = Number.MAX_SAFE_INTEGER;
