/**
 * Exit codes and environment variables of the command line.
 */

/** Exit codes; scripts may rely on them. */
export const exitCodes = {
	ok: 0,
	failed: 1,
	/** The command line or the settings can't be used. */
	usage: 2,
	/** The operators API refused, or another operator's change came first. */
	refused: 3,
	/** No answer from the operators API. */
	unreachable: 4,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** Number of checks, and the pause between them, while a command waits until a change is in force on all nodes. */
export const reachWait = {tries: 20, pauseMs: 250} as const;

/** Environment variables that are used for options that are not given. */
export const environmentNames = {
	url: 'QUETZALSTREAM_URL',
	user: 'QUETZALSTREAM_USER',
	password: 'QUETZALSTREAM_PASSWORD',
} as const;

/** Shown at the end of the program's help. */
export const exitCodeHelp = `
Exit codes:
  0  done
  1  failed
  2  the command line or the settings can't be used
  3  refused, or another operator's change came first
  4  no answer from the operators API`;
