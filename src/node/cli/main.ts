#!/usr/bin/env node
/**
 * Entry point of the program `quetzalstream`.
 */
import process from 'node:process';
import {text} from 'node:stream/consumers';
import 'reflect-metadata';
import {OperatorClient} from '../operators/operator-client.js';
import {runProgram} from './program.js';
import type {CliContext, StartNode} from './types.js';

const context: CliContext = {
	write(output) {
		process.stdout.write(output);
	},
	writeError(output) {
		process.stderr.write(output);
	},
	environment: process.env,
	readInput: async () => text(process.stdin),
	connectApi: options => new OperatorClient(options),
};

/** Loaded only by `serve`, so that the other commands start fast. */
const startNode: StartNode = async settings => {
	const wiring = await import('../wiring.js');
	return wiring.startNode(settings);
};

// Standard error holds one JSON object per line, which a notice of the AWS SDK would interrupt.
process.env.AWS_SDK_JS_NODE_VERSION_SUPPORT_WARNING_DISABLED ??= 'true';
process.exitCode = await runProgram(process.argv.slice(2), context, startNode);
